/**
 * Incremental parser of HTTP/1.1 responses on one connection.
 *
 * The built-in client of Node.js cannot skip a response that belongs to an earlier request, so connections to targets
 * use the parser library directly.
 */

import { HTTPParser } from "http-parser-js";

/** Status line and headers of a response. */
export interface ResponseHead {
    status: number;
    reason: string;
    /** Names and values in turn, as received. */
    headers: readonly string[];
    /** Whether the body ends with the connection, because the response announces no length. */
    untilClose: boolean;
}

/** Receives the parts of the responses on a connection. */
export interface ResponseListener {
    /** Returns whether the response has no body whatever its headers say. */
    head(head: ResponseHead): boolean;
    body(chunk: Buffer): void;
    /** `followed` tells that more bytes arrived behind the response. */
    end(followed: boolean): void;
}

/** Parser of one connection. */
export interface ResponseParser {
    /** Parses received bytes; returns an error when they are no response. */
    execute(chunk: Buffer): Error | undefined;
    /** Tells that the peer closed; returns an error when a response is incomplete. */
    finish(): Error | undefined;
}

// Header values may hold bytes above 127; the library's default would clear their highest bit.
HTTPParser.encoding = "latin1";

/** Size of a chunk in hexadecimal, with extensions that are ignored. */
const chunkSizeLine = /^[0-9a-fA-F]{1,8}\s*(?:;.*)?$/;

/** Longest line of a chunked body in bytes, and most names and values behind it; the library bounds the head only. */
const maxLineBytes = 16_384;
const maxTrailers = 200;

/** The members of the library's parser that its type declarations leave out. */
interface ParserInternals {
    offset: number;
    end: number;
    /** The beginning of a line whose end has not arrived. */
    line: string;
    trailers: string[];
    consumeLine(): string | undefined;
    BODY_CHUNKHEAD(): void;
    body_bytes: number | null;
    isChunked: boolean;
    state: string;
}

/** Refuses a chunk size that is no number; the library would take it for the end of the body. */
function useStrictChunkSizes(parser: ParserInternals): void {
    parser.BODY_CHUNKHEAD = () => {
        const line = parser.consumeLine();
        if (line === undefined) {
            return;
        }
        if (!chunkSizeLine.test(line)) {
            throw new Error("the chunk size is not a hexadecimal number");
        }
        parser.body_bytes = parseInt(line, 16);
        parser.state = parser.body_bytes === 0 ? "BODY_CHUNKTRAILERS" : "BODY_CHUNK";
    };
}

function hasAmbiguousLength(headers: readonly string[]): boolean {
    const values = headers.filter((_, index) =>
        index % 2 === 1 && headers[index - 1]!.toLowerCase() === "content-length"
    );
    return values.some(value => !/^\d{1,15}$/.test(value));
}

/** Creates the parser of a connection. */
export function createResponseParser(listener: ResponseListener): ResponseParser {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    const internals = parser as unknown as ParserInternals;
    useStrictChunkSizes(internals);
    let refused: Error | undefined;

    parser[HTTPParser.kOnHeadersComplete] = info => {
        const { statusCode, statusMessage, headers } = info as unknown as {
            statusCode: number;
            statusMessage: string;
            headers: string[];
        };
        if (hasAmbiguousLength(headers)) {
            refused = new Error("the content length is not a number");
            return;
        }
        const untilClose = internals.body_bytes === null && !internals.isChunked;
        return listener.head({ status: statusCode, reason: statusMessage, headers, untilClose }) as unknown as void;
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
        if (refused === undefined) {
            listener.body(chunk.subarray(offset, offset + length));
        }
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
        if (refused === undefined) {
            listener.end(internals.offset < internals.end);
        }
    };

    /** Returns an error when the parser keeps more of a body's framing than an answer needs. */
    function checkFraming(): Error | undefined {
        const isTooLong = internals.isChunked && internals.line.length > maxLineBytes
            || internals.trailers.length > maxTrailers;
        return isTooLong ? new Error("a line or the trailers of a chunked body are too long") : undefined;
    }

    return {
        execute(chunk) {
            const result: unknown = parser.execute(chunk);
            return refused ?? (result instanceof Error ? result : checkFraming());
        },
        finish() {
            const result: unknown = parser.finish();
            return result instanceof Error ? result : undefined;
        },
    };
}
