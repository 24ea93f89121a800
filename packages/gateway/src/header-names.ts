/** Names of the headers that callers and targets use, in lower case. */
export interface HeaderNames {
    /** Id of a request, chosen by the caller and repeated by the target. */
    requestId: string;
    /** Remaining time in milliseconds. */
    deadline: string;
    /** Organisation that a request runs for, told to the target. */
    organisation: string;
    /** Incarnation that the request is meant for. */
    expectedTarget: string;
    /** Present when a target has not run the request. */
    notRun: string;
    /** Proof of the target that the response is its own. */
    signature: string;
    /** Present in all answers of a target that leaves. */
    leaving: string;
    /** Seconds for which a target that answers 503 wants nothing from this instance. */
    turnedAwaySeconds: string;
    /** Running requests, waiting requests and slots, separated by commas. */
    load: string;
}
