import { Operator } from "./Operator";

const FIELDS = 4;

/** Reads "name:token:owner:class,..." or returns undefined if it is malformed. */
export const parseOperators = (text: string): readonly Operator[] | undefined => {
    const operators = text.split(",").filter((part) => part.length > 0).map((part) => part.split(":"));
    if (operators.some((fields) => fields.length !== FIELDS || fields.some((field) => field.length === 0))) {
        return undefined;
    }
    return operators.map(([name, token, owner, serviceClass]) => ({ name, token, owner, class: serviceClass }));
};
