/** A request that waits for a slot. */
export interface Waiter {
    organisation: string;
}

interface Share<W> {
    /** Slots that the organisation holds. */
    held: number;
    lastServed: number;
    waiting: Set<W>;
}

/** Bounded queue of one service, shared fairly between organisations by the slots that they hold. */
export interface WaitQueue<W extends Waiter> {
    readonly size: number;
    /**
     * Adds a waiter. When the queue is full, the newest waiter of the organisation with the most waiters makes room;
     * it is returned and may be the added one.
     */
    push(waiter: W): W | undefined;
    remove(waiter: W): void;
    /**
     * Serves waiters until none can be served: the organisation with the fewest held slots first, and among equals the
     * one that was served least recently. `serve` returns whether the waiter got a slot.
     */
    serveAll(serve: (waiter: W) => boolean): void;
    /** Counts a slot for an organisation that was served without waiting. */
    hold(organisation: string): void;
    release(organisation: string): void;
    /** Returns how many grants come before that of a new waiter of an organisation. */
    countAhead(organisation: string): number;
}

/** Creates an empty queue for at most `maxWaiting` waiters. */
export function createWaitQueue<W extends Waiter>(maxWaiting: number): WaitQueue<W> {
    const shares = new Map<string, Share<W>>();
    let size = 0;
    let served = 0;

    function shareOf(organisation: string): Share<W> {
        let share = shares.get(organisation);
        if (share === undefined) {
            share = { held: 0, lastServed: 0, waiting: new Set() };
            shares.set(organisation, share);
        }
        return share;
    }

    function forgetIdle(organisation: string, share: Share<W>): void {
        if (share.held === 0 && share.waiting.size === 0) {
            shares.delete(organisation);
        }
    }

    function remove(waiter: W): void {
        const share = shares.get(waiter.organisation);
        if (share?.waiting.delete(waiter) === true) {
            size -= 1;
            forgetIdle(waiter.organisation, share);
        }
    }

    function hold(organisation: string): void {
        const share = shareOf(organisation);
        share.held += 1;
        served += 1;
        share.lastServed = served;
    }

    function serveNext(serve: (waiter: W) => boolean): boolean {
        const ordered = [...shares.values()]
            .filter(({ waiting }) => waiting.size > 0)
            .sort((a, b) => a.held - b.held || a.lastServed - b.lastServed);
        for (const { waiting } of ordered) {
            for (const waiter of waiting) {
                if (serve(waiter)) {
                    hold(waiter.organisation);
                    remove(waiter);
                    return true;
                }
            }
        }
        return false;
    }

    return {
        get size() {
            return size;
        },
        push(waiter) {
            shareOf(waiter.organisation).waiting.add(waiter);
            size += 1;
            if (size <= maxWaiting) {
                return undefined;
            }
            const longest = [...shares.values()]
                .reduce((a, b) => b.waiting.size > a.waiting.size ? b : a, shareOf(waiter.organisation));
            const displaced = [...longest.waiting].at(-1);
            if (displaced !== undefined) {
                remove(displaced);
            }
            return displaced;
        },
        remove,
        serveAll(serve) {
            while (size > 0 && serveNext(serve)) {
                // Each round serves one waiter.
            }
        },
        hold,
        release(organisation) {
            const share = shares.get(organisation);
            if (share !== undefined) {
                share.held -= 1;
                forgetIdle(organisation, share);
            }
        },
        countAhead(organisation) {
            const own = shares.get(organisation);
            const level = (own?.held ?? 0) + (own?.waiting.size ?? 0) + 1;
            let ahead = 0;
            for (const share of shares.values()) {
                ahead += Math.min(share.waiting.size, share === own ? Infinity : Math.max(0, level - share.held));
            }
            return ahead;
        },
    };
}
