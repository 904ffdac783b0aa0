import { ServiceResource } from "./ServiceResource";

/** Returns the digests of the contents that a resource refers to. */
export const resourceDigests = ({ candidate, stable }: ServiceResource): readonly string[] =>
    [stable, candidate].flatMap((content) => (content ? [content.digest] : []));
