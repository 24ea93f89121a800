/** Ids of the requests that were sent last, to recognise a response that belongs to another request. */
export interface RecentRequests {
    add(requestId: string): void;
    /**
     * Tells whether a response names a different request that this instance has sent. A request id that the target
     * made up itself is not one of them and says nothing.
     */
    isOther(answeredId: string | string[] | undefined, requestId: string): boolean;
}

/**
 * Creates the memory of at least the last `capacity` request ids. Two generations replace each other, because dropping
 * the oldest entry of one large set costs a scan of its deleted slots.
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
        isOther: (answeredId, requestId) =>
            typeof answeredId === "string" && answeredId !== requestId
            && (current.has(answeredId) || previous.has(answeredId)),
    };
}
