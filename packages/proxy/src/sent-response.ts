import type { TargetResponse } from "./attempt-result";

/** A response that has been sent to the caller. */
export interface SentResponse {
    /** Whether the target's response was complete. */
    complete: boolean;
    /** The response, if a copy was requested and it fits the limit. */
    copy?: TargetResponse;
}
