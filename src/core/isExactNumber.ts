const DECIMAL_PATTERN = /^-?(\d+)(?:\.(\d+))?(?:e([+-]?\d+))?$/i;

/** Returns the significant digits of a decimal and the power of ten of the last one, as text that can be compared. */
const normalize = (text: string): string | undefined => {
    const [, whole, fraction = "", exponent = "0"] = DECIMAL_PATTERN.exec(text) ?? [];
    if (whole === undefined) {
        return undefined;
    }
    const digits = `${whole}${fraction}`.replace(/^0+/, "");
    const significant = digits.replace(/0+$/, "");
    const power = Number(exponent) - fraction.length + digits.length - significant.length;
    return significant === "" ? "0" : `${significant}e${power}`;
};

/** True if a decimal has the same digits after it was read as a double and written again. */
export const isExactNumber = (text: string): boolean => {
    const normalized = normalize(text);
    return normalized !== undefined && normalized === normalize(String(Number(text)));
};
