/**
 * Decisions on requests against organisations' limits, by this instance or by the one that owns the limit.
 */

import { createTokenClient, createTokenOwner, rankOwners, startDelayMs, startedTogether } from "@trefoilladder/limits";
import type { LimitGroup, OwnerCandidate, TokenDecision, TokenOwner, TokenResponse } from "@trefoilladder/limits";
import type { Mesh } from "@trefoilladder/mesh";
import type { DecisionLog } from "@trefoilladder/telemetry";

/** A decision and the address of the instance that made it. */
export interface LimitDecision {
    decision: TokenDecision;
    decidedBy: string;
}

/** Decides on requests. */
export interface LimitDecisions extends Pick<TokenOwner, "answer"> {
    /** Resolves with the decision on a request of this instance, within `maxWaitMs` and not much later than `maxDecisionMs`. */
    take(name: string, maxWaitMs: number): Promise<LimitDecision>;
    receive(address: string, response: TokenResponse): void;
    /** Called several times a second with the share of known instances in contact. */
    updateContact(share: number): void;
    /** Returns the monotonic time in milliseconds since which this instance runs without a pause. */
    runningSince(): number;
    /** Returns this instance and those in contact. */
    candidates(): OwnerCandidate[];
}

/** Dependencies of the decisions. */
export interface LimitDecisionParts {
    group: LimitGroup;
    mesh(): Pick<Mesh, "self" | "peers" | "contactShare" | "sendTokenRequest">;
    now(): number;
    /** Distinguishes restarts of this instance. */
    incarnation: string;
    log: Pick<DecisionLog, "count" | "lifecycle" | "stateChange">;
    /** @default the wall clock in milliseconds */
    wallClock?(): number;
}

/** Longest time in milliseconds for a decision: an instance that starts waits until it is in contact with the others. */
const maxDecisionMs = 2_000;
/** Time in milliseconds for which a ranking of owners is kept; contact changes more slowly. */
const rankingTtlMs = 100;

/**
 * Change of the difference between the wall clock and the monotonic clock, in milliseconds, that is taken for a suspension. A
 * step of the wall clock looks the same; the limits of this instance are then owned by others for a few seconds.
 */
const minSuspensionMs = 700;

/** Creates the decisions of an instance that starts now. */
export function createLimitDecisions(parts: LimitDecisionParts): LimitDecisions {
    const { group, mesh, now, incarnation, log, wallClock = Date.now } = parts;
    const startedAt = now();
    const owner = createTokenOwner({ group, now });
    let rankings = new Map<string, string[]>();
    let rankedAt = -Infinity;
    let isStarted = false;
    let clockDifference = wallClock() - startedAt;

    function runningSince(): number {
        return Math.max(startedAt, group.pausedAt());
    }

    /** Detects that the process was suspended together with its monotonic clock: the wall clock has advanced by more. */
    function detectSuspension(): void {
        const difference = wallClock() - now();
        const suspendedMs = difference - clockDifference;
        clockDifference = difference;
        if (Math.abs(suspendedMs) > minSuspensionMs) {
            group.recordSuspension();
            log.stateChange("clock_difference_changed", { changedByMs: Math.round(suspendedMs) });
        }
    }

    function candidates(): OwnerCandidate[] {
        const self: OwnerCandidate = { address: mesh().self, runningSince: runningSince() };
        const others = mesh().peers().flatMap(peer =>
            peer.runningSince === undefined ? [] : [{ address: peer.address, runningSince: peer.runningSince }]
        );
        return [self, ...others];
    }

    /** Returns the ranked owners of a limit. */
    function owners(name: string): readonly string[] {
        if (now() - rankedAt > rankingTtlMs) {
            rankings = new Map();
            rankedAt = now();
        }
        let ranking = rankings.get(name);
        if (ranking === undefined) {
            ranking = rankOwners(name, candidates(), now());
            rankings.set(name, ranking);
        }
        return ranking;
    }

    const client = createTokenClient({
        self: () => mesh().self,
        incarnation,
        group,
        owner,
        now,
        schedule: (callback, ms) => void setTimeout(callback, ms),
        owners,
        fleetSize: () => Math.round((mesh().peers().length + 1) / mesh().contactShare()),
        send: (address, request) => mesh().sendTokenRequest(address, request),
        count: log.count,
    });

    return {
        answer: owner.answer,
        runningSince,
        candidates,
        receive: client.receive,
        take: (name, maxWaitMs) =>
            new Promise(resolve => {
                client.take(name, Math.min(maxWaitMs, maxDecisionMs), (decision, decidedBy) => {
                    resolve({ decision, decidedBy });
                });
            }),
        updateContact(share) {
            detectSuspension();
            const known = candidates();
            const isSimultaneous = startedTogether(runningSince(), known);
            owner.updateContact(share, isSimultaneous, startDelayMs(runningSince(), known));
            if (!isStarted && owner.startsInMs() === 0) {
                isStarted = true;
                log.lifecycle("limits_started", {
                    ageMs: Math.round(now() - startedAt),
                    share,
                    startedTogether: isSimultaneous,
                });
            }
        },
    };
}
