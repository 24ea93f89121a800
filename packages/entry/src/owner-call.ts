import type { Clock } from "@trefoilladder/clock";
import { membershipFailure, shardOf } from "@trefoilladder/membership";
import type { Membership, ShardOwnership } from "@trefoilladder/membership";
import { MemberState } from "@trefoilladder/protocol";
import type { AcquireRequest, AcquireResponse } from "@trefoilladder/protocol";
import type { FleetQuotaParts, QuotaOwner } from "@trefoilladder/quota";
import type { Telemetry } from "@trefoilladder/telemetry";

/** Collaborators of the calls to owners. */
export interface OwnerCallParts {
    clock: Clock;
    membership: Pick<Membership, "self" | "members" | "peer">;
    ownership: Pick<ShardOwnership, "owns" | "presumedOwner">;
    quotaOwner: Pick<QuotaOwner, "acquire">;
    telemetry: Telemetry;
    /** Returns a number from 0 up to, but not including, 1. */
    random(): number;
}

/** Calls between instances about tokens. */
export interface OwnerCall {
    /** Returns the owner as far as known, otherwise an instance that passes requests on. */
    ownerOrRelay(shard: number): string | undefined;
    /** Calls the owner, through another instance while the owner cannot be reached directly. */
    call: FleetQuotaParts["callOwner"];
    /** Answers another instance, or passes its request on to the owner when it asks for that. */
    answer(request: AcquireRequest): Promise<AcquireResponse>;
}

/** Time for which an owner that did not answer is asked through other instances, in milliseconds. */
const unreachableMs = 2_000;
/** Time limit of a request that is passed on; the caller's own limit includes it. */
const forwardTimeoutMs = 80;

/** Creates the calls to owners; the call to this instance itself stays in the process. */
export function createOwnerCall(parts: OwnerCallParts): OwnerCall {
    const { clock, membership, ownership, quotaOwner, telemetry } = parts;
    const unreachableUntil = new Map<string, number>();

    async function callPeer(incarnation: string, request: AcquireRequest, timeoutMs: number) {
        try {
            return await membership.peer(incarnation)?.acquire(request, { timeoutMs });
        }
        catch (thrown) {
            telemetry.count("quota.acquire_failures", { code: membershipFailure(thrown, incarnation).code });
            return undefined;
        }
    }

    /** Returns an instance to pass a request on, of another failure domain than the owner's and this one's if there is one. */
    function relayFor(owner: string | undefined): string | undefined {
        const members = membership.members();
        const domainOf = (incarnation: string | undefined) =>
            members.find(member => member.incarnation === incarnation)?.domain;
        const live = members.filter(({ incarnation, fenced, state }) =>
            !fenced && state === MemberState.LIVE && incarnation !== owner && incarnation !== membership.self()
        );
        const cutDomains = owner === undefined ? [] : [domainOf(owner), domainOf(membership.self())];
        const elsewhere = live.filter(({ domain }) => !cutDomains.includes(domain));
        const choices = elsewhere.length > 0 ? elsewhere : live;
        return choices[Math.floor(parts.random() * choices.length)]?.incarnation;
    }

    return {
        // An instance that started while the log was unavailable has no roster and so knows no owner.
        ownerOrRelay: shard => ownership.presumedOwner(shard) ?? relayFor(undefined),
        async call(owner, request, timeoutMs) {
            if (owner === membership.self()) {
                return quotaOwner.acquire(request);
            }
            if (ownership.presumedOwner(shardOf(request.organisation)) === undefined) {
                return callPeer(owner, { ...request, forward: true }, timeoutMs);
            }
            const relay = clock.now() < (unreachableUntil.get(owner) ?? -Infinity) ? relayFor(owner) : undefined;
            if (relay !== undefined) {
                telemetry.count("quota.acquires_forwarded");
                return callPeer(relay, { ...request, forward: true }, timeoutMs);
            }
            const response = await callPeer(owner, request, timeoutMs);
            if (response === undefined) {
                unreachableUntil.set(owner, clock.now() + unreachableMs);
            }
            else {
                unreachableUntil.delete(owner);
            }
            return response;
        },
        async answer(request) {
            if (!request.forward) {
                return quotaOwner.acquire(request);
            }
            const shard = shardOf(request.organisation);
            const owner = ownership.presumedOwner(shard);
            const passesOn = !ownership.owns(shard) && owner !== undefined
                && owner !== membership.self();
            const forwarded = passesOn
                ? await callPeer(owner, { ...request, forward: false }, forwardTimeoutMs)
                : undefined;
            return forwarded ?? quotaOwner.acquire(request);
        },
    };
}
