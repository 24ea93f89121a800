/**
 * Choice of the instances that pass digests on.
 *
 * Load pattern: every instance tells all others several times a second what it has seen. Sent by each to each, digests of 130
 * instances are 40,000 datagrams a second. Two relays in each failure domain collect the digests of their domain and send
 * them on together. Senders take turns between the two, so that the loss of one costs every second digest until it is noticed.
 * Any instance relays when asked; nothing has to be agreed.
 */

/** An instance as the choice sees it. */
export interface RelayCandidate {
    address: string;
    /** Bandwidth of the instance's link in megabits a second. */
    linkMbps: number;
    /** Monotonic time in milliseconds of the last sign of the instance. A relay sends something several times a second. */
    aliveAt: number;
}

/** Relays of each failure domain. */
const relaysPerDomain = 2;
/** Time without a sign after which an instance is not asked to relay, in milliseconds; shorter than that of silence. */
const livelyMs = 700;

/** Compares instances so that those with the widest links come first, in the same order at all instances. */
export function compareLinks(
    a: Pick<RelayCandidate, "address" | "linkMbps">,
    b: Pick<RelayCandidate, "address" | "linkMbps">,
): number {
    return b.linkMbps - a.linkMbps || (a.address < b.address ? -1 : 1);
}

/**
 * Returns the relays among instances of one failure domain. Those with the widest links come first, since a relay sends to all
 * instances of its domain what all others see.
 */
export function chooseRelays<T extends RelayCandidate>(candidates: readonly T[], now: number): T[] {
    return candidates.filter(({ aliveAt }) => now - aliveAt < livelyMs)
        .sort(compareLinks)
        .slice(0, relaysPerDomain);
}
