import type { TargetResponse } from "./attempt-result";

/** A response that has been sent to the caller. */
export interface Delivery {
    /** Whether the target's response arrived completely. */
    complete: boolean;
    /** The response, when a copy was asked for and it is small enough. */
    copy?: TargetResponse;
}
