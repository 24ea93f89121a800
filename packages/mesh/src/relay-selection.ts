/**
 * Selection of the instances that forward digests.
 *
 * Load pattern: every instance sends its state to all others several times a second. Sent directly, the digests of 130
 * instances are 40,000 datagrams per second. Two relays in each failure domain collect the digests of their domain and forward
 * them in batches. Senders alternate between the two, so the failure of one loses every second digest until it is detected.
 * Any instance relays on request, so no agreement is needed.
 */

/** Properties of an instance that determine whether it is selected. */
export interface RelayCandidate {
    address: string;
    /** Bandwidth of the instance's link in megabits per second. */
    linkMbps: number;
    /** Monotonic time in milliseconds of the last datagram or digest. A relay sends datagrams several times a second. */
    lastSeenAt: number;
}

/** Number of relays in each failure domain. */
const relaysPerDomain = 2;
/** Time in milliseconds without a datagram or digest after which an instance is not selected; shorter than `silentAfterMs`. */
const relaySilenceLimitMs = 700;

/** Orders instances by descending bandwidth; the order is the same on all instances. */
export function compareLinks(
    a: Pick<RelayCandidate, "address" | "linkMbps">,
    b: Pick<RelayCandidate, "address" | "linkMbps">,
): number {
    return b.linkMbps - a.linkMbps || (a.address < b.address ? -1 : 1);
}

/**
 * Returns the relays among instances of one failure domain, those with the highest bandwidth first, since a relay sends the
 * digests of all other instances to all instances of its domain.
 */
export function selectRelays<T extends RelayCandidate>(candidates: readonly T[], now: number): T[] {
    return candidates.filter(({ lastSeenAt }) => now - lastSeenAt < relaySilenceLimitMs)
        .sort(compareLinks)
        .slice(0, relaysPerDomain);
}
