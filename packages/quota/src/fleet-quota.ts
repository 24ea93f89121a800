import { create } from "@bufbuild/protobuf";
import type { Clock } from "@trefoilladder/clock";
import { shardOf } from "@trefoilladder/membership";
import { AcquireRequestSchema, AcquireVerdict } from "@trefoilladder/protocol";
import type { AcquireRequest, AcquireResponse } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createDemandMeter } from "./demand-meter";
import type { DemandMeter } from "./demand-meter";
import type { Quota, QuotaRequest } from "./quota";
import { QuotaRefusal } from "./quota";
import type { ResolvedQuotaOptions } from "./quota-options";
import { maxTokensPerRequest } from "./quota-owner";
import { createUsableDelegation } from "./usable-delegation";
import type { UsableDelegation } from "./usable-delegation";

/** Collaborators of the fleet-wide quota. */
export interface FleetQuotaParts {
    clock: Clock;
    telemetry: Telemetry;
    /** Incarnation of this instance. */
    self(): string;
    holdsLease(): boolean;
    isFenced(incarnation: string): boolean;
    presumedOwner(shard: number): string | undefined;
    /** Calls the owner; resolves to undefined when the call fails or takes longer than `timeoutMs`. */
    callOwner(owner: string, request: AcquireRequest, timeoutMs: number): Promise<AcquireResponse | undefined>;
    /** Returns a number from 0 up to, but not including, 1. */
    random(): number;
}

/** Quota that all instances of the fleet share. */
export interface FleetQuota extends Quota {
    /** Renews or returns delegations until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Returns every delegation to its owner; called during a graceful shutdown. */
    returnDelegations(): Promise<void>;
}

interface OrganisationState {
    /** Shard of the organisation, cached to avoid rehashing. */
    shard: number;
    demand: DemandMeter;
    delegation?: UsableDelegation;
    /** Time until which the owner's last refusal applies to further requests. */
    refusedUntil: number;
    /** Owner reported by another instance; preferred over the presumed owner until it expires. */
    redirect?: { owner: string; expiresAt: number; };
    /** Requests waiting for the next call to the owner. */
    waiters: Waiter[];
    acquireInFlight: boolean;
}

type TokenOutcome =
    | { kind: "granted"; owner: string; usableFrom: number; usableUntil: number; }
    | { kind: "refused"; retryAfterMs: number; }
    | { kind: "unanswered"; };

interface Waiter {
    deadlineAt: number;
    settle(outcome: TokenOutcome): void;
}

const renewIntervalMs = 250;
const ownerRetryMs = 40;
/** Time for which a reported owner is preferred; the membership reflects the change by then. */
const redirectTtlMs = 1_000;
const idleStateTtlMs = 60_000;
/** Time that a request needs after its admission; a token that arrives later is useless. */
const minServiceMs = 5;

function isDecision({ verdict }: AcquireResponse): boolean {
    return verdict === AcquireVerdict.GRANTED || verdict === AcquireVerdict.REFUSED;
}

/** Creates the quota of an instance, which acquires tokens from owners and uses their delegations. */
export function createFleetQuota(parts: FleetQuotaParts, options: ResolvedQuotaOptions): FleetQuota {
    const { clock, telemetry } = parts;
    const organisations = new Map<string, OrganisationState>();

    function getOrCreateState(organisation: string, now: number): OrganisationState {
        let state = organisations.get(organisation);
        if (state === undefined) {
            state = {
                shard: shardOf(organisation),
                demand: createDemandMeter(now),
                refusedUntil: -Infinity,
                waiters: [],
                acquireInFlight: false,
            };
            organisations.set(organisation, state);
        }
        return state;
    }

    function usableDelegation(state: OrganisationState, now: number): UsableDelegation | undefined {
        const { delegation } = state;
        if (delegation === undefined) {
            return undefined;
        }
        const valid = now < delegation.endsAt && delegation.holder === parts.self()
            && !parts.isFenced(delegation.owner);
        if (!valid) {
            state.delegation = undefined;
        }
        return state.delegation;
    }

    function storeDelegation(
        state: OrganisationState,
        response: AcquireResponse,
        context: { owner: string; holder: string; sentAt: number; },
    ): void {
        const { delegation } = response;
        const now = clock.now();
        if (delegation === undefined || context.holder !== parts.self() || parts.isFenced(context.owner)) {
            return;
        }
        const held = usableDelegation(state, now);
        if (held?.number === delegation.number) {
            held.endsAt = Math.max(held.endsAt, context.sentAt + delegation.termMs);
            return;
        }
        state.delegation = createUsableDelegation(delegation, { ...context, now });
    }

    function ownerOf(state: OrganisationState, now: number): string | undefined {
        const { redirect } = state;
        return redirect !== undefined && now < redirect.expiresAt && !parts.isFenced(redirect.owner)
            ? redirect.owner
            : parts.presumedOwner(state.shard);
    }

    /** Redirects to the owner that a non-owner reports; clears a redirect that does not lead to an owner. */
    function updateRedirect(state: OrganisationState, reportedOwner: string, calledOwner: string): void {
        state.redirect = reportedOwner === "" || reportedOwner === calledOwner || state.redirect?.owner === calledOwner
            ? undefined
            : { owner: reportedOwner, expiresAt: clock.now() + redirectTtlMs };
    }

    async function acquire(
        organisation: string,
        state: OrganisationState,
        wanted: { tokens: number; maxDelayMs?: number; returned?: UsableDelegation; },
    ): Promise<TokenOutcome[]> {
        const sentAt = clock.now();
        const owner = ownerOf(state, sentAt);
        if (owner === undefined) {
            return [];
        }
        const holder = parts.self();
        const held = wanted.returned ?? usableDelegation(state, sentAt);
        const response = await parts.callOwner(
            owner,
            create(AcquireRequestSchema, {
                incarnation: holder,
                organisation,
                tokens: wanted.tokens,
                demandPerSecond: state.demand.perSecond(sentAt),
                heldNumber: held?.number ?? 0n,
                heldLevel: held?.bucket.level(sentAt),
                returned: wanted.returned !== undefined,
                maxDelayMs: Math.max(0, Math.floor(wanted.maxDelayMs ?? 0)),
            }),
            options.acquireTimeoutMs,
        );
        telemetry.count("quota.acquires");
        if (response === undefined) {
            return [];
        }
        if (response.verdict === AcquireVerdict.NOT_OWNER) {
            updateRedirect(state, response.owner, owner);
        }
        storeDelegation(state, response, { owner: response.grantedBy, holder, sentAt });
        if (holder !== parts.self() || !isDecision(response)) {
            return [];
        }
        const now = clock.now();
        const granted: TokenOutcome[] = response.delaysMs.map(delayMs => ({
            kind: "granted",
            owner: response.grantedBy,
            usableFrom: now + delayMs,
            usableUntil: sentAt + delayMs + response.useWithinMs,
        }));
        const refusal: TokenOutcome = { kind: "refused", retryAfterMs: response.retryAfterMs };
        return response.verdict === AcquireVerdict.REFUSED
            ? [...granted, ...new Array<TokenOutcome>(wanted.tokens - granted.length).fill(refusal)]
            : granted;
    }

    /** Acquires tokens for all waiting requests in batches, with one call in flight per organisation. */
    async function acquireForWaiters(organisation: string, state: OrganisationState): Promise<void> {
        state.acquireInFlight = true;
        while (state.waiters.length > 0) {
            const batch = state.waiters.splice(0, maxTokensPerRequest);
            const latestDeadlineAt = Math.max(...batch.map(({ deadlineAt }) => deadlineAt));
            const outcomes = await acquire(organisation, state, {
                tokens: batch.length,
                maxDelayMs: latestDeadlineAt - minServiceMs - clock.now(),
            });
            batch.forEach((waiter, index) => waiter.settle(outcomes[index] ?? { kind: "unanswered" }));
        }
        state.acquireInFlight = false;
    }

    function requestToken(organisation: string, state: OrganisationState, deadlineAt: number): Promise<TokenOutcome> {
        return new Promise(settle => {
            state.waiters.push({ deadlineAt, settle });
            if (!state.acquireInFlight) {
                void acquireForWaiters(organisation, state);
            }
        });
    }

    function refuse(code: QuotaRefusal["code"], message: string, retryAfterMs: number): Result<void, QuotaRefusal> {
        return err(new QuotaRefusal(code, message, retryAfterMs));
    }

    function takeDelegatedToken(state: OrganisationState): boolean {
        const now = clock.now();
        return usableDelegation(state, now)?.bucket.take(1, now) === 0;
    }

    async function sleepUntil(time: number, signal: AbortSignal): Promise<void> {
        // A timer may fire slightly early, and a token must not be used before it becomes available.
        while (clock.now() < time && !signal.aborted) {
            await clock.sleep(Math.ceil(time - clock.now()), signal);
        }
    }

    /**
     * Checks a grant in the same event loop turn as the admission: the grant or the lease may have expired during a
     * pause, and the successor of a fenced owner may have granted the same tokens again.
     */
    function isUsable(grant: Extract<TokenOutcome, { kind: "granted"; }>): boolean {
        return clock.now() <= grant.usableUntil && parts.holdsLease() && !parts.isFenced(grant.owner);
    }

    async function admit(request: QuotaRequest): Promise<Result<void, QuotaRefusal>> {
        const startedAt = clock.now();
        const state = getOrCreateState(request.organisation, startedAt);
        state.demand.record(startedAt);
        const waitUntil = Math.min(startedAt + options.maxOwnerWaitMs, request.deadlineAt - minServiceMs);
        for (;;) {
            if (parts.holdsLease() && takeDelegatedToken(state)) {
                return ok(undefined);
            }
            // Read only when the request has to wait, since the caller's signal is created lazily.
            if (request.signal.aborted) {
                return refuse("cancelled", "the caller went away", 0);
            }
            if (parts.holdsLease()) {
                const now = clock.now();
                if (now < state.refusedUntil) {
                    return refuse("rate_exceeded", "the organisation's rate is used up", state.refusedUntil - now);
                }
                const outcome = await requestToken(request.organisation, state, request.deadlineAt);
                if (outcome.kind === "refused") {
                    if (takeDelegatedToken(state) && parts.holdsLease()) {
                        return ok(undefined);
                    }
                    state.refusedUntil = clock.now() + Math.min(outcome.retryAfterMs, options.maxReservationDelayMs);
                    return refuse("rate_exceeded", "the organisation's rate is used up", outcome.retryAfterMs);
                }
                if (outcome.kind === "granted") {
                    await sleepUntil(outcome.usableFrom, request.signal);
                    if (isUsable(outcome) && !request.signal.aborted) {
                        return ok(undefined);
                    }
                    telemetry.count("quota.grants_expired");
                }
            }
            if (clock.now() + ownerRetryMs >= waitUntil) {
                return parts.holdsLease()
                    ? refuse("quota_unavailable", "the owner of the organisation's quota gave no answer", ownerRetryMs)
                    : refuse("instance_isolated", "the instance has lost contact with the fleet", ownerRetryMs);
            }
            await clock.sleep(ownerRetryMs * (0.5 + parts.random()), request.signal);
        }
    }

    async function renewOrReturn(organisation: string, state: OrganisationState): Promise<void> {
        const now = clock.now();
        const held = usableDelegation(state, now);
        if (held === undefined || held.endsAt - now > options.delegationTermMs / 2) {
            return;
        }
        if (state.demand.perSecond(now) >= options.delegationThresholdPerSecond / 2) {
            await acquire(organisation, state, { tokens: 0 });
            return;
        }
        // Stops using the delegation before notifying the owner, so that a lost message loses tokens but never doubles them.
        state.delegation = undefined;
        await acquire(organisation, state, { tokens: 0, returned: held });
    }

    function removeIdleStates(now: number): void {
        for (const [organisation, state] of organisations) {
            if (state.delegation === undefined && now - state.demand.lastUpdatedAt() > idleStateTtlMs) {
                organisations.delete(organisation);
            }
        }
    }

    return {
        admit,
        async run(signal) {
            while (!signal.aborted) {
                await clock.sleep(renewIntervalMs * (0.8 + 0.4 * parts.random()), signal);
                removeIdleStates(clock.now());
                await Promise.all(
                    [...organisations].map(([organisation, state]) => renewOrReturn(organisation, state)),
                );
            }
        },
        async returnDelegations() {
            await Promise.all([...organisations].map(async ([organisation, state]) => {
                const held = usableDelegation(state, clock.now());
                state.delegation = undefined;
                if (held !== undefined) {
                    await acquire(organisation, state, { tokens: 0, returned: held });
                }
            }));
        },
    };
}
