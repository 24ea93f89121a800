import type { Clock } from "@trefoilladder/clock";
import { membershipFailure, shardOf } from "@trefoilladder/membership";
import type { Membership, ShardOwnership } from "@trefoilladder/membership";
import { MemberState } from "@trefoilladder/protocol";
import type { AcquireRequest, AcquireResponse } from "@trefoilladder/protocol";
import type { FleetQuotaParts, QuotaOwner } from "@trefoilladder/quota";
import type { Telemetry } from "@trefoilladder/telemetry";

/** Dependencies of the acquire calls. */
export interface AcquireRpcParts {
    clock: Clock;
    membership: Pick<Membership, "self" | "members" | "peer">;
    ownership: Pick<ShardOwnership, "owns" | "presumedOwner">;
    quotaOwner: Pick<QuotaOwner, "acquire">;
    telemetry: Telemetry;
    /** Returns a number from 0 up to, but not including, 1. */
    random(): number;
}

/** Calls between instances that acquire quota tokens. */
export interface AcquireRpc {
    /** Returns the presumed owner of a shard, or an instance that forwards requests when no owner is known. */
    ownerOrRelay(shard: number): string | undefined;
    /** Calls the owner, through another instance while the owner is not directly reachable. */
    callOwner: FleetQuotaParts["callOwner"];
    /** Handles a request from another instance; forwards it to the owner when the request asks for that. */
    handleAcquire(request: AcquireRequest): Promise<AcquireResponse>;
}

/** Time for which calls to an owner go through other instances after a failed call, in milliseconds. */
const relayPeriodMs = 2_000;
/** Time limit of a forwarded request in milliseconds; the caller's own limit includes it. */
const forwardTimeoutMs = 80;

/** Creates the acquire calls; a call to this instance itself stays in the process. */
export function createAcquireRpc(parts: AcquireRpcParts): AcquireRpc {
    const { clock, membership, ownership, quotaOwner, telemetry } = parts;
    const relayUntil = new Map<string, number>();

    async function callPeer(incarnation: string, request: AcquireRequest, timeoutMs: number) {
        try {
            return await membership.peer(incarnation)?.acquire(request, { timeoutMs });
        }
        catch (thrown) {
            telemetry.count("quota.acquire_failures", { code: membershipFailure(thrown, incarnation).code });
            return undefined;
        }
    }

    /** Returns an instance to forward a request, if possible outside the failure domains of the owner and this one. */
    function chooseRelay(owner: string | undefined): string | undefined {
        const members = membership.members();
        const domainOf = (incarnation: string | undefined) =>
            members.find(member => member.incarnation === incarnation)?.domain;
        const live = members.filter(({ incarnation, fenced, state }) =>
            !fenced && state === MemberState.LIVE && incarnation !== owner && incarnation !== membership.self()
        );
        const excludedDomains = owner === undefined ? [] : [domainOf(owner), domainOf(membership.self())];
        const inOtherDomains = live.filter(({ domain }) => !excludedDomains.includes(domain));
        const candidates = inOtherDomains.length > 0 ? inOtherDomains : live;
        return candidates[Math.floor(parts.random() * candidates.length)]?.incarnation;
    }

    return {
        // An instance that starts while the log is unavailable has no roster, so it knows no owner.
        ownerOrRelay: shard => ownership.presumedOwner(shard) ?? chooseRelay(undefined),
        async callOwner(owner, request, timeoutMs) {
            if (owner === membership.self()) {
                return quotaOwner.acquire(request);
            }
            if (ownership.presumedOwner(shardOf(request.organisation)) === undefined) {
                return callPeer(owner, { ...request, forward: true }, timeoutMs);
            }
            const relay = clock.now() < (relayUntil.get(owner) ?? -Infinity) ? chooseRelay(owner) : undefined;
            if (relay !== undefined) {
                telemetry.count("quota.acquires_forwarded");
                return callPeer(relay, { ...request, forward: true }, timeoutMs);
            }
            const response = await callPeer(owner, request, timeoutMs);
            if (response === undefined) {
                relayUntil.set(owner, clock.now() + relayPeriodMs);
            }
            else {
                relayUntil.delete(owner);
            }
            return response;
        },
        async handleAcquire(request) {
            if (!request.forward) {
                return quotaOwner.acquire(request);
            }
            const shard = shardOf(request.organisation);
            const owner = ownership.presumedOwner(shard);
            const shouldForward = !ownership.owns(shard) && owner !== undefined
                && owner !== membership.self();
            const response = shouldForward
                ? await callPeer(owner, { ...request, forward: false }, forwardTimeoutMs)
                : undefined;
            return response ?? quotaOwner.acquire(request);
        },
    };
}
