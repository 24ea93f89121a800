/** Ids of recently sent requests, used to detect a response that belongs to another request. */
export interface RecentRequests {
    add(requestId: string): void;
    /**
     * Returns whether the request id of a response belongs to another request of this instance. An id that the target
     * generated itself is not a known request id and is ignored.
     */
    isOtherRequest(responseId: string | string[] | undefined, requestId: string): boolean;
}

/**
 * Creates a store of at least the last `capacity` request ids. It uses two generations, because removing the oldest
 * entry of a single large set scans its deleted slots.
 */
export function createRecentRequests(capacity = 10_000): RecentRequests {
    let current = new Set<string>();
    let previous = new Set<string>();
    return {
        add(requestId) {
            if (current.size >= capacity) {
                previous = current;
                current = new Set();
            }
            current.add(requestId);
        },
        isOtherRequest: (responseId, requestId) =>
            typeof responseId === "string" && responseId !== requestId
            && (current.has(responseId) || previous.has(responseId)),
    };
}
