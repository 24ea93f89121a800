/** Names of the headers that callers and targets use, in lower case. */
export interface HeaderNames {
    /** Id of a request, chosen by the caller and echoed by the target. */
    requestId: string;
    /** Remaining time until the deadline in milliseconds. */
    deadline: string;
    /** Organisation that a request runs for, sent to the target. */
    organisation: string;
    /** Target incarnation that the request is addressed to. */
    expectedTarget: string;
    /** Present when a target has not run the request. */
    notRun: string;
    /** Signature by which the target proves that the response is its own. */
    signature: string;
    /** Present in all responses of a leaving target. */
    leaving: string;
    /** Seconds for which a target that responds with 503 accepts no requests from this instance. */
    retryAfter: string;
    /** Running requests, waiting requests and slots, separated by commas. */
    load: string;
}
