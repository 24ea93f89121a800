/**
 * Incremental parser of HTTP/1.1 responses on one connection.
 *
 * The HTTP client of Node.js cannot skip a response to an earlier request, so connections to targets use the parser library
 * directly.
 */

import { HTTPParser } from "http-parser-js";
import { readSmallChunks } from "./small-chunks";

/** Status line and headers of a response. */
export interface ResponseHead {
    status: number;
    reason: string;
    /** Names and values alternately, as received. */
    headers: readonly string[];
    /** Whether the close of the connection ends the body, because the response declares no length. */
    isCloseDelimited: boolean;
    /** Length in bytes by which the end of the body is found; undefined when chunks or the close of the connection end it. */
    bodyLength: number | undefined;
}

/** Receives the parts of the responses on a connection. */
export interface ResponseListener {
    /** Returns whether the response has no body regardless of its headers. */
    head(head: ResponseHead): boolean;
    body(chunk: Buffer): void;
    /** Called at the end of a response; `hasTrailingBytes` is true when more bytes arrived after it. */
    end(hasTrailingBytes: boolean): void;
}

/** Parser of one connection. */
export interface ResponseParser {
    /** Parses received bytes; returns an error when they are not a valid response. */
    execute(chunk: Buffer): Error | undefined;
    /** Ends the input when the peer has closed; returns an error when a response is incomplete. */
    finish(): Error | undefined;
}

// Header values may contain bytes above 127; the library's default encoding would clear their highest bit.
HTTPParser.encoding = "latin1";

/** Chunk size in hexadecimal, with optional chunk extensions, which are ignored. */
const chunkSizeLine = /^[0-9a-fA-F]{1,8}\s*(?:;.*)?$/;

/** Maximum line length in bytes and number of trailer names and values of a chunked body; the library limits the head only. */
const maxLineBytes = 16_384;
const maxTrailers = 200;

/** Members of the library's parser that its type declarations omit. */
interface ParserInternals {
    chunk: Buffer;
    offset: number;
    end: number;
    /** Received part of an incomplete line. */
    line: string;
    trailers: string[];
    consumeLine(): string | undefined;
    /** Marks that errors thrown until the returned function is called are the listener's and not the peer's. */
    userCall(): (result: void) => void;
    BODY_CHUNKHEAD(): void;
    body_bytes: number | null;
    isChunked: boolean;
    state: string;
}

/**
 * Rejects a chunk size that is not a number; the library would interpret it as the end of the body. Passes on the small chunks of one
 * read together.
 */
function useOwnChunkReader(parser: ParserInternals, body: (bytes: Buffer) => void): void {
    parser.BODY_CHUNKHEAD = () => {
        const small = parser.line === "" ? readSmallChunks(parser.chunk, parser.offset, parser.end) : undefined;
        if (small !== undefined) {
            parser.offset = small.offset;
            parser.userCall()(body(small.body));
            return;
        }
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

/** Returns the values of a header by its lower-case name. */
function headerValues(headers: readonly string[], name: string): string[] {
    return headers.filter((_, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name);
}

/** Returns an error when the headers declare a framing of the body that the library would misinterpret. */
function findFramingError(headers: readonly string[]): Error | undefined {
    if (headerValues(headers, "content-length").some(value => !/^\d{1,15}$/.test(value))) {
        return new Error("the Content-Length header is not a number");
    }
    const encodings = headerValues(headers, "transfer-encoding");
    if (encodings.length > 1 || encodings.some(value => value.toLowerCase() !== "chunked")) {
        return new Error("the Transfer-Encoding header is not 'chunked'");
    }
    return undefined;
}

/** Creates the parser of a connection. */
export function createResponseParser(listener: ResponseListener): ResponseParser {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    const internals = parser as unknown as ParserInternals;
    let framingError: Error | undefined;
    const passOn = (bytes: Buffer) => {
        if (framingError === undefined) {
            listener.body(bytes);
        }
    };
    useOwnChunkReader(internals, passOn);

    parser[HTTPParser.kOnHeadersComplete] = info => {
        const { statusCode, statusMessage, headers } = info as unknown as {
            statusCode: number;
            statusMessage: string;
            headers: string[];
        };
        framingError = findFramingError(headers);
        if (framingError !== undefined) {
            return;
        }
        const isCloseDelimited = internals.body_bytes === null && !internals.isChunked;
        return listener.head({
            status: statusCode,
            reason: statusMessage,
            headers,
            isCloseDelimited,
            bodyLength: internals.body_bytes ?? undefined,
        }) as unknown as void;
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => passOn(chunk.subarray(offset, offset + length));
    parser[HTTPParser.kOnMessageComplete] = () => {
        if (framingError === undefined) {
            listener.end(internals.offset < internals.end);
        }
    };

    /** Returns an error when a line or the trailers that the parser buffers exceed the limits. */
    function checkFraming(): Error | undefined {
        const isTooLong = internals.isChunked && internals.line.length > maxLineBytes
            || internals.trailers.length > maxTrailers;
        return isTooLong ? new Error("a line or the trailers of a chunked body exceed the limit") : undefined;
    }

    return {
        execute(chunk) {
            const result: unknown = parser.execute(chunk);
            return framingError ?? (result instanceof Error ? result : checkFraming());
        },
        finish() {
            const result: unknown = parser.finish();
            return result instanceof Error ? result : undefined;
        },
    };
}
