import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { notRun } from "./problem";
import type { Problem } from "./problem";

/** Encoded slashes, backslashes, dots, control characters and double encoding: servers disagree on what they mean. */
const ambiguousEncoding = /%(?:2f|5c|2e|7f|[01][0-9a-f]|25[0-9a-f]{2})/i;
const unsafeCharacter = /[\\#\x00-\x20\x7f-\uffff]/;
/** Empty and dot segments; `..;` is a parent segment to servers that know path parameters. */
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
 * Returns the decoded path of a request target. A path that a target may read as another path than the proxy does is
 * refused, because the route, and with it the class of the request, would be chosen for the wrong path.
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
