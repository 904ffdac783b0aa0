import { parse } from "lossless-json";
import { die } from "./die";
import { ErrorKind } from "./ErrorKind";
import { findIllFormedText } from "./findIllFormedText";
import { isExactNumber } from "./isExactNumber";

const readNumber = (text: string): number =>
    isExactNumber(text) ? Number(text) : die(ErrorKind.RequestInvalid, `the number ${text} can't be kept exactly`);

/** Parses JSON. Text that serializes to itself has lost nothing, which spares most documents the slower parser. */
const parseExactly = (text: string): unknown => {
    const value: unknown = JSON.parse(text);
    return JSON.stringify(value) === text ? value : parse(text, undefined, readNumber);
};

/**
 * Parses JSON of which nothing may be lost: the value serializes to a document of the same meaning.
 * @throws SyntaxError if the text is not JSON or repeats a key with another value; RangeError if it is nested too deeply;
 * FilbertdealError of kind RequestInvalid for a number that a double does not hold, or for unpaired surrogates
 */
export const parseJson = (text: string): unknown => {
    const value = parseExactly(text);
    const illFormed = findIllFormedText(value);
    return illFormed === undefined
        ? value
        : die(ErrorKind.RequestInvalid, `the text ${JSON.stringify(illFormed)} has an unpaired surrogate`);
};
