import { Operator } from "./Operator";

const FIELD_COUNT = 4;

/** Parses "name:token:owner:class,...". Returns undefined if the text is malformed. */
export const parseOperators = (text: string): readonly Operator[] | undefined => {
    const operators = text.split(",").filter((part) => part.length > 0).map((part) => part.split(":"));
    if (operators.some((fields) => fields.length !== FIELD_COUNT || fields.some((field) => field.length === 0))) {
        return undefined;
    }
    return operators.map(([name, token, owner, serviceClass]) => ({ name, token, owner, class: serviceClass }));
};
