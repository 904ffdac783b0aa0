const MS_PER_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Parses a duration such as "90s" or "15m" to milliseconds. Returns undefined for any other text. */
export const parseDuration = (text: string): number | undefined => {
    const match = /^(\d+)(ms|s|m|h|d)$/.exec(text);
    return match ? Number(match[1]) * MS_PER_UNIT[match[2]] : undefined;
};
