/**
 * Detection of a second response in a body that ends with its connection.
 *
 * A faulty target may respond twice. After a body without a length, nothing but the second head separates the two.
 */

/** Checks one body. */
export interface SecondResponseCheck {
    /** Returns whether the body up to and including these bytes contains the head of another response. */
    contains(chunk: Buffer): boolean;
    /** Returns whether the body ends within the head of another response. */
    endsWithin(): boolean;
}

/** Bytes of the body that are kept, so that a head is found across reads; a longer head is not recognised. */
const keptBytes = 16_384;
const headStart = "HTTP/1.";
const statusLine = /^HTTP\/1\.[01] \d{3}(?: .*)?$/;
const partialStatusLine = /^HTTP\/1\.[01] (?:\d{1,3}|\d{3} .*)\r?$/;
const headerLine = /^[\w!#$%&'*+.^`|~-]+:/;
const partialHeaderLine = /^(?:[\w!#$%&'*+.^`|~-]*|[\w!#$%&'*+.^`|~-]+:.*)\r?$/;

/** What a text begins with. */
const beginning = {
    /** The complete head of a response. */
    head: "head",
    /** The head of a response that continues after the end of the text. */
    partialHead: "partial_head",
    other: "other",
} as const;

/** Yields the text from each possible start of a head to the end. */
function* possibleHeads(text: string): Generator<string> {
    for (let start = text.indexOf(headStart); start >= 0; start = text.indexOf(headStart, start + 1)) {
        yield text.slice(start);
    }
}

/** Yields the lines of a text with whether they are complete. */
function* linesOf(text: string): Generator<{ line: string; isComplete: boolean; }> {
    let start = 0;
    for (let end = text.indexOf("\r\n"); end >= 0; end = text.indexOf("\r\n", start)) {
        yield { line: text.slice(start, end), isComplete: true };
        start = end + 2;
    }
    yield { line: text.slice(start), isComplete: false };
}

/** Determines what a text begins with; a head has to have the required header, named in lower case. */
function readBeginning(text: string, requiredHeader: string): typeof beginning[keyof typeof beginning] {
    let hasRequiredHeader = false;
    let isFirst = true;
    for (const { line, isComplete } of linesOf(text)) {
        if (!isComplete) {
            const isPartial = (isFirst ? partialStatusLine : partialHeaderLine).test(line);
            return isPartial ? beginning.partialHead : beginning.other;
        }
        if (line === "") {
            return hasRequiredHeader ? beginning.head : beginning.other;
        }
        if (!(isFirst ? statusLine : headerLine).test(line)) {
            return beginning.other;
        }
        isFirst = false;
        hasRequiredHeader ||= line.toLowerCase().startsWith(`${requiredHeader}:`);
    }
    return beginning.other;
}

/** Creates the check of a body; a head counts as that of a response when it has the header with the request's id. */
export function createSecondResponseCheck(requestIdHeader: string): SecondResponseCheck {
    let kept = Buffer.alloc(0);

    function has(bytes: Buffer, wanted: typeof beginning[keyof typeof beginning]): boolean {
        if (!bytes.includes(headStart)) {
            return false;
        }
        for (const text of possibleHeads(bytes.toString("latin1"))) {
            if (readBeginning(text, requestIdHeader) === wanted) {
                return true;
            }
        }
        return false;
    }

    return {
        contains(chunk) {
            const bytes = Buffer.concat([kept, chunk]);
            kept = bytes.subarray(-keptBytes);
            return has(bytes, beginning.head);
        },
        endsWithin: () => has(kept, beginning.partialHead),
    };
}
