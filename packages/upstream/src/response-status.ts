/**
 * Ranges of the statuses of HTTP responses.
 */

const minInterimStatus = 100;
const minFinalStatus = 200;
const maxFinalStatus = 599;

/** Returns whether a status is one of an interim response, which precedes the final one. */
export function isInterimStatus(status: number): boolean {
    return status >= minInterimStatus && status < minFinalStatus;
}

/** Returns whether a status is one of a final response. */
export function isFinalStatus(status: number): boolean {
    return status >= minFinalStatus && status <= maxFinalStatus;
}
