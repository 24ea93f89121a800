import { createVirtualClock } from "@trefoilladder/clock";
import type { Clock, VirtualClock } from "@trefoilladder/clock";
import { shardOf } from "@trefoilladder/membership";
import type { AcquireRequest, AcquireResponse } from "@trefoilladder/protocol";
import { createFleetQuota, createQuotaOwner, resolveQuotaOptions } from "@trefoilladder/quota";
import type { FleetQuota, QuotaLimit, QuotaOwner } from "@trefoilladder/quota";
import { createTelemetry } from "@trefoilladder/telemetry";
import { setMaxListeners } from "node:events";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Faults to inject into the simulated network and instances. */
export interface FleetFaults {
    /** Probability that a message is lost, in each direction. */
    loss: number;
    maxDelayMs: number;
    /** Probability that a sleep of an instance is extended by a pause. */
    pauseShare: number;
    maxPauseMs: number;
}

/** Fleet of holders with one owner at a time, on virtual time. */
export interface QuotaFleet {
    clock: VirtualClock;
    random(): number;
    holders: FleetQuota[];
    /** Times at which the organisation's requests were admitted, in milliseconds. */
    admittedAt: number[];
    refusals: Map<string, number>;
    request(holder: number, deadlineMs: number): Promise<void>;
    /** Hands the shard and its state over to a new owner. */
    handOver(): void;
    /** Kills the owner; a new owner takes over once no grant of the old one is valid any longer. */
    killOwner(): Promise<void>;
    stop(): void;
}

export const organisation = "laurel";
const contactLeaseMs = 1_500;
const fenceAfterMs = 1_500;

/** Creates a fleet that serves one organisation. */
export function createQuotaFleet(
    options: { seed: number; holders: number; limit: QuotaLimit; faults: FleetFaults; },
): QuotaFleet {
    const generator = xoroshiro128plus(options.seed);
    const random = () => uniformFloat64(generator);
    const clock = createVirtualClock(1_000_000);
    const telemetry = createTelemetry({ instance: "test", level: "silent" });
    const resolved = resolveQuotaOptions();
    const shard = shardOf(organisation);
    const stopping = new AbortController();
    // Every waiting request of the test adds a listener to this signal.
    setMaxListeners(0, stopping.signal);
    const owners: { id: string; owner: QuotaOwner; owns: boolean; fenced: boolean; }[] = [];
    let delegationNumber = 0n;
    const admittedAt: number[] = [];
    const refusals = new Map<string, number>();

    function addOwner(): typeof owners[number] {
        const entry = { id: `owner-${owners.length}`, owns: false, fenced: false } as typeof owners[number];
        entry.owner = createQuotaOwner({
            clock,
            self: () => entry.id,
            owns: () => entry.owns,
            presumedOwner: () => currentOwner().id,
            isFenced: () => false,
            limitOf: () => options.limit,
            nextDelegationNumber: () => ++delegationNumber,
        }, resolved);
        owners.push(entry);
        return entry;
    }

    function currentOwner(): typeof owners[number] {
        return owners[owners.length - 1]!;
    }

    function createPausingClock(): Clock {
        return {
            now: () => clock.now(),
            sleep: (ms, signal) =>
                clock.sleep(
                    ms + (random() < options.faults.pauseShare ? random() * options.faults.maxPauseMs : 0),
                    signal,
                ),
        };
    }

    async function callOwner(
        ownerId: string,
        request: AcquireRequest,
        timeoutMs: number,
        holderClock: Clock,
    ): Promise<AcquireResponse | undefined> {
        const { loss, maxDelayMs } = options.faults;
        const transfer = async () => {
            await clock.sleep(random() * maxDelayMs);
            if (random() < loss) {
                return undefined;
            }
            const owner = owners.find(({ id }) => id === ownerId)!;
            const response = owner.owner.acquire(request);
            await clock.sleep(random() * maxDelayMs);
            return random() < loss ? undefined : response;
        };
        const timeout = clock.sleep(timeoutMs).then(() => undefined);
        const response = await Promise.race([transfer(), timeout]);
        // A pause of the holder may delay the response further.
        await holderClock.sleep(0);
        return response;
    }

    const first = addOwner();
    first.owns = true;
    first.owner.install(shard, undefined);

    const holders = Array.from({ length: options.holders }, (_, index) => {
        const holderClock = createPausingClock();
        const quota = createFleetQuota({
            clock: holderClock,
            telemetry,
            self: () => `holder-${index}`,
            holdsLease: () => true,
            isFenced: incarnation => owners.find(({ id }) => id === incarnation)!.fenced,
            presumedOwner: () => currentOwner().id,
            callOwner: (owner, request, timeoutMs) => callOwner(owner, request, timeoutMs, holderClock),
            random,
        }, resolved);
        void quota.run(stopping.signal);
        return quota;
    });

    return {
        clock,
        random,
        holders,
        admittedAt,
        refusals,
        async request(holder, deadlineMs) {
            const admitted = await holders[holder]!.admit({
                organisation,
                ...options.limit,
                deadlineAt: clock.now() + deadlineMs,
                signal: stopping.signal,
            });
            admitted.match(
                () => void admittedAt.push(clock.now()),
                refusal => void refusals.set(refusal.code, (refusals.get(refusal.code) ?? 0) + 1),
            );
        },
        handOver() {
            const previous = currentOwner();
            previous.owns = false;
            const next = addOwner();
            next.owner.install(shard, previous.owner.release(shard));
            next.owns = true;
        },
        async killOwner() {
            const previous = currentOwner();
            previous.owns = false;
            await clock.sleep(fenceAfterMs);
            previous.fenced = true;
            await clock.sleep(contactLeaseMs);
            const next = addOwner();
            next.owner.install(shard, undefined);
            next.owns = true;
        },
        stop: () => stopping.abort(),
    };
}
