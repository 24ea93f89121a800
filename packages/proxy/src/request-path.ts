import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { notRun } from "./problem";
import type { Problem } from "./problem";

/** Encoded slashes, backslashes, dots and control characters, and double encoding: servers decode them differently. */
const ambiguousEncoding = /%(?:2f|5c|2e|7f|[01][0-9a-f]|25[0-9a-f]{2})/i;
const unsafeCharacter = /[\\#\x00-\x20\x7f-\uffff]/;
/** Empty and dot segments; servers that support path parameters treat `..;` as a parent segment. */
const ambiguousSegment = /\/\/|\/\.{1,2}(?:[/;]|$)/;

function decode(path: string): string | undefined {
    try {
        return decodeURIComponent(path);
    }
    catch {
        return undefined;
    }
}

/**
 * Returns the decoded path of a request target. Rejects a path that a target may interpret differently from the proxy,
 * because the proxy would select the route, and with it the class of the request, for the wrong path.
 */
export function parsePath(url: string): Result<string, Problem> {
    const end = url.indexOf("?");
    const path = end < 0 ? url : url.slice(0, end);
    if (!path.startsWith("/") || unsafeCharacter.test(url)) {
        return err(notRun("path_invalid", "the request target is not a plain absolute path"));
    }
    if (ambiguousSegment.test(path) || ambiguousEncoding.test(path)) {
        return err(notRun("path_invalid", "the path has an empty, dot or ambiguously encoded segment"));
    }
    const decoded = path.includes("%") ? decode(path) : path;
    return decoded === undefined ? err(notRun("path_invalid", "the path is not valid percent-encoding")) : ok(decoded);
}
