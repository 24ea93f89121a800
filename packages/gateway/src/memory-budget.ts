/**
 * Memory budget of a process: what callers' connections, requests, bodies and responses may hold at once.
 *
 * Load pattern: many clients that each hold a little memory and do not continue, so that a limit on each one does not bound the
 * sum. Makes decisions only; the holders free the memory.
 */

/** What memory is held for. */
export const memoryUse = {
    connection: "connection",
    /** Requests that have been read and whose responses have not been sent. */
    request: "request",
    body: "body",
    response: "response",
} as const;

/** One of the uses. */
export type MemoryUse = typeof memoryUse[keyof typeof memoryUse];

/** Memory that one connection holds. */
export interface MemoryHolder {
    /** Adds bytes that are held for a use; a negative number frees them. */
    add(use: MemoryUse, bytes: number): void;
    /** Records that the peer has sent or received bytes; enough of them restart its waiting time. */
    progress(bytes: number): void;
    /** Restarts the waiting time, because the peer has completed something. */
    restart(): void;
    /** Frees everything; further calls do nothing. */
    close(): void;
}

/** Behaviour of a holder. */
export interface HolderOptions {
    /** Returns whether the holder waits for its peer; one that does not is not dropped. */
    waitsForPeer(): boolean;
    /** Frees the memory. */
    drop(): void;
}

/** The budget of a process. */
export interface MemoryBudget {
    open(options: HolderOptions): MemoryHolder;
    /** Returns whether the body of a further request is read, and one that has to wait for others on its connection is kept. */
    acceptsBodies(): boolean;
    /** Returns whether little memory is used, so that one connection may have many requests in hand. */
    isAmple(): boolean;
    /** Returns whether a further request is handled. */
    acceptsRequests(): boolean;
    /** Drops the holder that has waited longest for its peer, of those that hold memory for a use; returns whether there was one. */
    dropLongestWaiting(use: MemoryUse): boolean;
    /** Does the same with the holders that hold nothing but a connection, and if there is none with all. */
    dropLeastActive(): boolean;
    usedBytes(use: MemoryUse): number;
    readonly totalBytes: number;
}

/** Memory of a machine in megabytes when the settings do not state it. */
export const defaultMemoryMb = 256;
/** Share of the machine's memory; the program, the heap and garbage that is not collected yet take the rest. */
const budgetShare = 0.3;
/** Largest budget in bytes: a part of it is on the heap, whose limit does not depend on the machine. */
const maxBudgetBytes = 128 * 1024 * 1024;

/** Shares of the budget: fewer requests at once on a connection, no further bodies and waiting requests, dropping begins, dropping ends, no further requests. */
const ampleShare = 0.25;
const bodyShare = 0.5;
const dropShare = 0.75;
const afterDropShare = 0.65;
const requestShare = 0.9;

/** Bytes after which a peer counts as having made progress; fewer would let a client stay by sending a byte now and then. */
const progressBytes = 16 * 1024;

/** Returns the budget in bytes on a machine with this memory. */
export function budgetBytes(memoryMb: number): number {
    return Math.min(maxBudgetBytes, memoryMb * 1024 * 1024 * budgetShare);
}

/** Creates a budget of which nothing is used. */
export function createMemoryBudget(totalBytes: number): MemoryBudget {
    interface Entry extends HolderOptions {
        held: Record<MemoryUse, number>;
        uncountedProgress: number;
    }

    /** Holders in the order of their last progress. */
    const entries = new Set<Entry>();
    const used: Record<MemoryUse, number> = { connection: 0, request: 0, body: 0, response: 0 };
    let total = 0;

    function add(entry: Entry, use: MemoryUse, bytes: number): void {
        entry.held[use] += bytes;
        used[use] += bytes;
        total += bytes;
    }

    function free(entry: Entry): void {
        if (entries.delete(entry)) {
            for (const use of Object.values(memoryUse)) {
                add(entry, use, -entry.held[use]);
            }
        }
    }

    /** Drops the holder that has waited longest and to which a condition applies. */
    function dropFirst(applies: (entry: Entry) => boolean): boolean {
        for (const entry of entries) {
            if (applies(entry) && entry.waitsForPeer()) {
                free(entry);
                entry.drop();
                return true;
            }
        }
        return false;
    }

    const holdsMoreThanConnection = ({ held }: Entry) => held.body + held.request + held.response > 0;

    function relieve(): void {
        if (total <= dropShare * totalBytes) {
            return;
        }
        while (total > afterDropShare * totalBytes) {
            if (!dropFirst(holdsMoreThanConnection) && !dropFirst(() => true)) {
                return;
            }
        }
    }

    return {
        open(options) {
            const entry: Entry = {
                ...options,
                held: { connection: 0, request: 0, body: 0, response: 0 },
                uncountedProgress: 0,
            };
            entries.add(entry);
            const restart = () => {
                if (entries.delete(entry)) {
                    entry.uncountedProgress = 0;
                    entries.add(entry);
                }
            };
            return {
                add(use, bytes) {
                    if (entries.has(entry)) {
                        add(entry, use, bytes);
                        if (bytes > 0) {
                            relieve();
                        }
                    }
                },
                progress(bytes) {
                    entry.uncountedProgress += bytes;
                    if (entry.uncountedProgress >= progressBytes) {
                        restart();
                    }
                },
                restart,
                close: () => free(entry),
            };
        },
        acceptsBodies: () => total < bodyShare * totalBytes,
        isAmple: () => total < ampleShare * totalBytes,
        acceptsRequests: () => total < requestShare * totalBytes,
        dropLongestWaiting: use => dropFirst(({ held }) => held[use] > 0),
        dropLeastActive: () => dropFirst(entry => !holdsMoreThanConnection(entry)) || dropFirst(() => true),
        usedBytes: use => used[use],
        totalBytes,
    };
}
