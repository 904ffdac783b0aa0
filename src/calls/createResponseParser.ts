import { HTTPParser } from "http-parser-js";

/** The members of the parser that its type declares as private. They exist in the version that this project locks. */
type ParserInternals = {
    state: string;
    /** The beginning of a line whose end has not arrived. */
    line: string;
    offset: number;
    end: number;
    consumeLine: () => string | undefined;
    parseHeader: (line: string, headers: string[]) => void;
};

/** Limit of a line of a head, of a chunk's size with its extensions, and of the trailers of a response. */
const MAXIMUM_LINE_BYTES = 65_536;
const MAXIMUM_CHUNK_LINE_BYTES = 4_096;
const MAXIMUM_TRAILER_BYTES = 65_536;

/** Heads are passed on byte by byte: a character for each byte. */
HTTPParser.encoding = "latin1";

/** Characters that can't stand in a line of a head. */
const CONTROL_CHARACTER_PATTERN = /[\0-\x08\n-\x1f\x7f]/;

/** A status line. The parser itself takes any three digits for a status, also the first three of more. */
const STATUS_LINE_PATTERN = /^HTTP\/1\.\d [1-5]\d\d( |$)/;

/** The size of a chunk. The parser itself takes anything that is no number for the end of the body. */
const CHUNK_SIZE_PATTERN = /^[0-9a-f]{1,8}[ \t]*(;|$)/i;

/**
 * Creates a parser of responses that holds a bounded part of an unfinished head, chunk size or trailer, and that rejects
 * statuses outside 100 to 599 and chunk sizes that are no numbers.
 */
export const createResponseParser = () => {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    const internals = parser as unknown as ParserInternals;
    const consumeLine = internals.consumeLine;
    const parseHeader = internals.parseHeader;
    let trailerBytes = 0;
    internals.consumeLine = () => {
        const line = consumeLine.call(internals);
        const { state } = internals;
        const isTrailer = state === "BODY_CHUNKTRAILERS";
        const length = line === undefined ? internals.line.length : line.length;
        const isChunkLine = state === "BODY_CHUNKHEAD" || state === "BODY_CHUNKEMPTYLINE";
        if (length > (isChunkLine ? MAXIMUM_CHUNK_LINE_BYTES : MAXIMUM_LINE_BYTES)) {
            throw new Error("line too long");
        }
        if (state === "BODY_CHUNKHEAD" && line !== undefined && !CHUNK_SIZE_PATTERN.test(line)) {
            throw new Error("invalid chunk size");
        }
        if (state === "RESPONSE_LINE" && line && !STATUS_LINE_PATTERN.test(line)) {
            throw new Error("invalid status line");
        }
        if (line !== undefined && CONTROL_CHARACTER_PATTERN.test(line)) {
            throw new Error("control character");
        }
        trailerBytes = isTrailer ? trailerBytes + (line?.length ?? 0) : 0;
        if (trailerBytes > MAXIMUM_TRAILER_BYTES) {
            throw new Error("trailers too long");
        }
        return line;
    };
    internals.parseHeader = (line, headers) => {
        // Trailers are not forwarded.
        if (internals.state !== "BODY_CHUNKTRAILERS") {
            parseHeader.call(internals, line, headers);
        }
    };
    return {
        parser,
        /** True if bytes of the last piece have not been parsed yet. */
        hasUnparsedBytes: () => internals.offset < internals.end,
    } as const;
};
