import { median } from "@trefoilladder/placement";

/** Kinds of evidence that a target is an outlier. */
export const evidenceKind = {
    failures: "failures",
    stalls: "stalls",
    connectFailures: "connect-failures",
    resets: "resets",
    truncations: "truncations",
    overdue: "overdue",
    slow: "slow",
} as const;

/** Kind of evidence that a target is an outlier. */
export type EvidenceKind = typeof evidenceKind[keyof typeof evidenceKind];

/** Totals of the attempts on a target in one window. */
export interface EvidenceTotals {
    /** Finished attempts, except cancelled and shed ones. */
    requests: number;
    failures: number;
    stalls: number;
    connectFailures: number;
    resets: number;
    truncations: number;
    /** Attempts in progress that wait for headers or body bytes much longer than those of the peers. */
    overdue: number;
    /** Time between the first and the last of the bad attempts above in milliseconds. */
    badSpanMs: number;
    /** Attempts with a known time to the headers or a lower bound of it, and those of them slower than the peers. */
    timed: number;
    slow: number;
    slowSpanMs: number;
    /** Whether the last health probe failed. */
    probeFailed: boolean;
}

/** Typical rates of the other targets of the service. */
export interface PeerRates {
    badRatio: number;
    slowRatio: number;
}

/** Reason why a target counts as an outlier. */
export interface Finding {
    kind: EvidenceKind;
    /** Fraction of the attempts that are bad or slow. */
    severity: number;
}

/** Prior attempts and bad attempts of healthy peers, so that a small sample without errors proves little. */
const priorAttempts = 100;
const priorBadAttempts = 1;
/** Lower limit of the ratio of bad attempts that a target is compared with. */
const minExpectedBadRatio = 0.002;
const minExpectedSlowRatio = 0.05;
/** Probability of the evidence under the peers' rates up to which a target is an outlier. */
const significanceLevel = 1e-4;
/** Level when a health probe also failed: weak evidence that speeds up detection but never suffices alone. */
const significanceLevelWithFailedProbe = 1e-3;
const minBadAttempts = 3;
const minBadRatio = 0.15;
const minSlowAttempts = 4;
const minSlowRatio = 0.5;
/** Two stalls suffice when they span this time, because the target choice avoids targets with stuck requests. */
const longStallMs = 1_500;
const minLongStalls = 2;

/** Returns the probability of at least `k` successes in `n` independent trials with probability `p`. */
export function binomialTail(k: number, n: number, p: number): number {
    if (k <= 0) {
        return 1;
    }
    if (p >= 1) {
        return 1;
    }
    let below = 0;
    let logTerm = n * Math.log1p(-p);
    let tail = 0;
    for (let successes = 0; successes <= n; successes++) {
        const term = Math.exp(logTerm);
        if (successes < k) {
            below += term;
        }
        else {
            tail += term;
        }
        logTerm += Math.log((n - successes) / (successes + 1)) + Math.log(p) - Math.log1p(-p);
    }
    return below > 0.5 ? tail : 1 - below;
}

/** Returns the number of attempts that failed, stalled or are overdue. */
export function countBadAttempts(totals: EvidenceTotals): number {
    return totals.failures + totals.stalls + totals.connectFailures + totals.resets + totals.truncations
        + totals.overdue;
}

/** Returns the fraction of a target's attempts that are bad. */
export function badRatio(totals: EvidenceTotals): number {
    const attempts = totals.requests + totals.overdue;
    return attempts === 0 ? 0 : countBadAttempts(totals) / attempts;
}

/** Returns the fraction of a target's timed attempts that are slow. */
export function slowRatio(totals: EvidenceTotals): number {
    return totals.timed === 0 ? 0 : totals.slow / totals.timed;
}

function mostFrequentKind(totals: EvidenceTotals): EvidenceKind {
    const counts: [EvidenceKind, number][] = [
        [evidenceKind.failures, totals.failures],
        [evidenceKind.stalls, totals.stalls],
        [evidenceKind.connectFailures, totals.connectFailures],
        [evidenceKind.resets, totals.resets],
        [evidenceKind.truncations, totals.truncations],
        [evidenceKind.overdue, totals.overdue],
    ];
    return counts.reduce((most, entry) => entry[1] > most[1] ? entry : most)[0];
}

/**
 * Returns the typical rates of the peers. The pooled ratio of bad attempts excludes peers that look bad. The median
 * over all peers prevents ejections for a cause that all targets share, such as a request that always fails.
 */
export function computePeerRates(peers: readonly EvidenceTotals[]): PeerRates {
    const healthyPeers = peers.filter(totals =>
        countBadAttempts(totals) < minBadAttempts || badRatio(totals) < minBadRatio
    );
    const attempts = healthyPeers.reduce((sum, totals) => sum + totals.requests + totals.overdue, priorAttempts);
    const bad = healthyPeers.reduce((sum, totals) => sum + countBadAttempts(totals), priorBadAttempts);
    return {
        badRatio: Math.max(median(peers.map(badRatio)) ?? 0, bad / attempts),
        slowRatio: median(peers.map(slowRatio)) ?? 0,
    };
}

function detectBadAttempts(
    totals: EvidenceTotals,
    peers: PeerRates,
    maxProbability: number,
    minSpanMs: number,
): Finding | undefined {
    const bad = countBadAttempts(totals);
    const severity = badRatio(totals);
    const sufficient = bad >= minBadAttempts && totals.badSpanMs >= minSpanMs
        || totals.overdue + totals.stalls >= minLongStalls && totals.badSpanMs >= longStallMs;
    const expectedRatio = Math.max(minExpectedBadRatio, 2 * peers.badRatio);
    if (!sufficient || severity < minBadRatio) {
        return undefined;
    }
    return binomialTail(bad, totals.requests + totals.overdue, expectedRatio) <= maxProbability * 1.0001
        ? { kind: mostFrequentKind(totals), severity }
        : undefined;
}

function detectSlowness(
    totals: EvidenceTotals,
    peers: PeerRates,
    maxProbability: number,
    minSpanMs: number,
): Finding | undefined {
    const severity = slowRatio(totals);
    const expectedRatio = Math.max(minExpectedSlowRatio, 1.5 * peers.slowRatio);
    const sufficient = totals.slow >= minSlowAttempts && severity >= minSlowRatio && totals.slowSpanMs >= minSpanMs;
    return sufficient && binomialTail(totals.slow, totals.timed, expectedRatio) <= maxProbability
        ? { kind: evidenceKind.slow, severity }
        : undefined;
}

/** Compares a target with its peers; returns a finding if it is an outlier. A cold target may be slow. */
export function detectOutlier(
    totals: EvidenceTotals,
    peers: PeerRates,
    options: { cold: boolean; minSpanMs: number; },
): Finding | undefined {
    const maxProbability = totals.probeFailed ? significanceLevelWithFailedProbe : significanceLevel;
    return detectBadAttempts(totals, peers, maxProbability, options.minSpanMs)
        ?? (options.cold ? undefined : detectSlowness(totals, peers, maxProbability, options.minSpanMs));
}

/** Returns the time to the headers in milliseconds above which an attempt is slow, given the peers' median. */
export function slowThreshold(peerMedianMs: number): number {
    return Math.max(3 * peerMedianMs, peerMedianMs + 3);
}

/** Returns the waiting time in milliseconds above which an attempt in progress is overdue, given the peers' p95. */
export function overdueThreshold(peerP95Ms: number): number {
    return Math.max(100, 4 * peerP95Ms);
}
