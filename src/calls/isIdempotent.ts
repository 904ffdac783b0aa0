import { MeshRoute } from "../configuration/MeshRoute";

/** True if a request of the route may safely run more than once. */
export const isIdempotent = ({ kind }: MeshRoute): boolean => kind === "idempotent";
