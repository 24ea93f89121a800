/**
 * Pacing of heads with very many header fields.
 *
 * Load pattern: requests with thousands of short fields that follow each other without a wait on many connections. Each takes
 * milliseconds, most of it for garbage collection. Node.js accepts one connection in each iteration of the event loop, so that a
 * further caller behind a hundred such connections waited for half a minute on a busy machine.
 */

import { createRatePacer } from "./rate-pacing";

/** Pace of the header fields of such heads in the whole process. */
export interface FieldPacer {
    /** Counts the fields of a head; returns the time in milliseconds until requests behind it on its connection may be read. */
    delayAfterMs(fields: number): number;
    /** Returns whether so many fields have been counted that no further such request is kept waiting. */
    isExceeded(): boolean;
}

/** Heads up to this number of fields are not counted. */
const ordinaryFields = 250;
/** Rate of fields in the long run: about a twentieth of a processor to parse the requests, forward them and relay the responses. */
const fieldsPerMs = 20;
/** Fields that are read without a delay. */
const burstFields = 50_000;

/** Delay from which requests are not kept waiting, in milliseconds; one connection alone does not reach it. */
const maxDelayMs = 2_000;

/** Creates a pacer that has counted nothing. */
export function createFieldPacer(now: () => number): FieldPacer {
    const pacer = createRatePacer(now, { perMs: fieldsPerMs, burst: burstFields });
    return {
        delayAfterMs(fields) {
            if (fields <= ordinaryFields) {
                return 0;
            }
            pacer.count(fields);
            return pacer.delayMs();
        },
        isExceeded: () => pacer.delayMs() > maxDelayMs,
    };
}
