const LEVEL_NAMES: Readonly<Record<number, string>> = { 20: "debug", 30: "info", 40: "warn", 50: "error" };
const NEEDS_QUOTES = /[\s"=]|^$/;

const formatValue = (value: unknown): string => {
    const text = String(value);
    return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
};

/** Converts one JSON line of pino into one line of key=value pairs. */
export const formatLogLine = (jsonLine: string): string => {
    const { level, at, ...fields } = JSON.parse(jsonLine) as Record<string, unknown>;
    const pairs = Object.entries(fields).map(([key, value]) => `${key}=${formatValue(value)}`);
    return `at=${String(at)} level=${LEVEL_NAMES[Number(level)] ?? "info"} ${pairs.join(" ")}\n`;
};
