/** Connections of one instance to all targets, with the rules of the pool for idle ones. */
export interface SimulatedPool {
    /** Takes the most recently used idle connection to a target, or opens one; returns whether it is new. */
    take(target: string, maxIdleMs: number): boolean;
    /** Returns the connection of a request that has ended. */
    release(target: string): void;
    hasIdle(target: string, maxIdleMs: number): boolean;
}

/** Creates a pool without connections. */
export function createSimulatedPool(now: () => number): SimulatedPool {
    /** Times since which the connections of each target are idle, in ascending order. */
    const idleSince = new Map<string, number[]>();

    function hasIdle(target: string, maxIdleMs: number): boolean {
        const last = idleSince.get(target)?.at(-1);
        return last !== undefined && now() - last <= maxIdleMs;
    }

    return {
        hasIdle,
        take(target, maxIdleMs) {
            if (!hasIdle(target, maxIdleMs)) {
                return true;
            }
            idleSince.get(target)!.pop();
            return false;
        },
        release(target) {
            const times = idleSince.get(target) ?? [];
            times.push(now());
            idleSince.set(target, times);
        },
    };
}
