/**
 * Room of this instance for further requests: memory, and the number of requests that run at once.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { memoryUse } from "./memory-budget";
import type { MemoryBudget } from "./memory-budget";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";

/** Dependencies of the room. */
export interface RequestRoomParts {
    budget: Pick<MemoryBudget, "acceptsBodies" | "acceptsRequests" | "dropLongestWaiting">;
    /** Largest number of requests that run at targets at once. */
    maxRunning: number;
    random(): number;
}

/** Room for further requests. */
export interface RequestRoom {
    admitMemory(hasBody: boolean): Result<void, Refusal>;
    admitRunning(): Result<void, Refusal>;
    /** Counts a request that runs at targets, or a response that is streamed from one, until `end`. */
    begin(): void;
    end(): void;
}

/** Retry-After in seconds when memory is short or too many requests run: other instances have room. */
const shortageRetrySeconds = 0.5;

/** Creates the room of an instance without requests. */
export function createRequestRoom(parts: RequestRoomParts): RequestRoom {
    /** Requests that run at targets, and responses that are streamed from them. */
    let running = 0;

    /** Refuses a request for which memory is short. */
    function admitMemory(hasBody: boolean): Result<void, Refusal> {
        const isAccepted = hasBody ? parts.budget.acceptsBodies() : parts.budget.acceptsRequests();
        return isAccepted
            ? ok(undefined)
            : err(refusal("memory_short", 503, {
                retryAfterSeconds: shortageRetrySeconds * (1 + parts.random()),
                inputs: { hasBody },
            }));
    }

    /** Refuses a request when too many run already; callers that take their responses slowly make room. */
    function admitRunning(): Result<void, Refusal> {
        if (running < parts.maxRunning) {
            return ok(undefined);
        }
        parts.budget.dropLongestWaiting(memoryUse.response);
        return err(refusal("too_many_running", 503, {
            retryAfterSeconds: shortageRetrySeconds * (1 + parts.random()),
            inputs: { running },
        }));
    }

    return {
        admitMemory,
        admitRunning,
        begin() {
            running += 1;
        },
        end() {
            running -= 1;
        },
    };
}
