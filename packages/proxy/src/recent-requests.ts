/** Ids of the requests that were sent last, to recognise a response that belongs to another request. */
export interface RecentRequests {
    add(requestId: string): void;
    /**
     * Tells whether a response names a different request that this instance has sent. A request id that the target
     * made up itself is not one of them and says nothing.
     */
    isOther(answeredId: string | string[] | undefined, requestId: string): boolean;
}

/** Creates the memory of the last `capacity` request ids. */
export function createRecentRequests(capacity = 10_000): RecentRequests {
    const ids = new Set<string>();
    return {
        add(requestId) {
            ids.add(requestId);
            if (ids.size > capacity) {
                for (const oldest of ids) {
                    ids.delete(oldest);
                    break;
                }
            }
        },
        isOther: (answeredId, requestId) =>
            typeof answeredId === "string" && answeredId !== requestId && ids.has(answeredId),
    };
}
