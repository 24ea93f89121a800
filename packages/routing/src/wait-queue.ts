/** A request that waits for a slot. */
export interface Waiter {
    organisation: string;
}

interface OrganisationState<W> {
    /** Slots in use by the organisation. */
    heldSlots: number;
    /** Sequence number of the organisation's last grant. */
    lastGrant: number;
    waiting: Set<W>;
}

/** Bounded queue of one service with fair sharing between organisations by the slots that they hold. */
export interface WaitQueue<W extends Waiter> {
    readonly size: number;
    /**
     * Adds a waiter. When the queue is full, removes and returns the newest waiter of the organisation with the most
     * waiters, which may be the added one.
     */
    push(waiter: W): W | undefined;
    remove(waiter: W): void;
    /**
     * Serves waiters until none can be served. The organisation with the fewest held slots comes first, and among
     * equals the one served least recently. `serve` returns whether the waiter got a slot.
     */
    serveAll(serve: (waiter: W) => boolean): void;
    /** Counts a slot that an organisation got without waiting. */
    recordSlot(organisation: string): void;
    releaseSlot(organisation: string): void;
    /** Returns the number of waiters that are served before a new waiter of an organisation. */
    countWaitersAhead(organisation: string): number;
}

/** Creates an empty queue for at most `maxWaiting` waiters. */
export function createWaitQueue<W extends Waiter>(maxWaiting: number): WaitQueue<W> {
    const organisations = new Map<string, OrganisationState<W>>();
    let size = 0;
    let grants = 0;

    function stateOf(organisation: string): OrganisationState<W> {
        let state = organisations.get(organisation);
        if (state === undefined) {
            state = { heldSlots: 0, lastGrant: 0, waiting: new Set() };
            organisations.set(organisation, state);
        }
        return state;
    }

    function deleteIfIdle(organisation: string, state: OrganisationState<W>): void {
        if (state.heldSlots === 0 && state.waiting.size === 0) {
            organisations.delete(organisation);
        }
    }

    function remove(waiter: W): void {
        const state = organisations.get(waiter.organisation);
        if (state?.waiting.delete(waiter) === true) {
            size -= 1;
            deleteIfIdle(waiter.organisation, state);
        }
    }

    function recordSlot(organisation: string): void {
        const state = stateOf(organisation);
        state.heldSlots += 1;
        grants += 1;
        state.lastGrant = grants;
    }

    function serveNext(serve: (waiter: W) => boolean): boolean {
        const ordered = [...organisations.values()]
            .filter(({ waiting }) => waiting.size > 0)
            .sort((a, b) => a.heldSlots - b.heldSlots || a.lastGrant - b.lastGrant);
        for (const { waiting } of ordered) {
            for (const waiter of waiting) {
                if (serve(waiter)) {
                    recordSlot(waiter.organisation);
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
            stateOf(waiter.organisation).waiting.add(waiter);
            size += 1;
            if (size <= maxWaiting) {
                return undefined;
            }
            const longest = [...organisations.values()]
                .reduce((a, b) => b.waiting.size > a.waiting.size ? b : a, stateOf(waiter.organisation));
            const displaced = [...longest.waiting].at(-1);
            if (displaced !== undefined) {
                remove(displaced);
            }
            return displaced;
        },
        remove,
        serveAll(serve) {
            while (size > 0 && serveNext(serve)) {
                // Each iteration serves one waiter.
            }
        },
        recordSlot,
        releaseSlot(organisation) {
            const state = organisations.get(organisation);
            if (state !== undefined) {
                state.heldSlots -= 1;
                deleteIfIdle(organisation, state);
            }
        },
        countWaitersAhead(organisation) {
            const requester = organisations.get(organisation);
            const slotsWhenServed = (requester?.heldSlots ?? 0) + (requester?.waiting.size ?? 0) + 1;
            let waitersAhead = 0;
            for (const state of organisations.values()) {
                waitersAhead += Math.min(
                    state.waiting.size,
                    state === requester ? Infinity : Math.max(0, slotsWhenServed - state.heldSlots),
                );
            }
            return waitersAhead;
        },
    };
}
