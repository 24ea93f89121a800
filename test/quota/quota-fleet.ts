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

/** Faults of the simulated network and instances. */
export interface FleetFaults {
    /** Share of messages that are lost, in each direction. */
    loss: number;
    maxDelayMs: number;
    /** Share of waits after which an instance is paused. */
    pauseShare: number;
    maxPauseMs: number;
}

/** A fleet of holders and one owner at a time, on virtual time. */
export interface QuotaFleet {
    clock: VirtualClock;
    random(): number;
    holders: FleetQuota[];
    /** Admission times of the organisation, in milliseconds. */
    admittedAt: number[];
    refusals: Map<string, number>;
    request(holder: number, deadlineMs: number): Promise<void>;
    /** Moves the shard to another owner with its state. */
    handOver(): void;
    /** Kills the owner; a new one succeeds once everything granted by the old one is void. */
    killOwner(): Promise<void>;
    stop(): void;
}

export const organisation = "laurel";
const contactLeaseMs = 1_500;
const fenceAfterMs = 1_500;

/** Creates a fleet for one organisation. */
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
    // Every waiting request of the test listens to this signal.
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
            presumedOwner: () => current().id,
            isFenced: () => false,
            limitOf: () => options.limit,
            nextDelegationNumber: () => ++delegationNumber,
        }, resolved);
        owners.push(entry);
        return entry;
    }

    function current(): typeof owners[number] {
        return owners[owners.length - 1]!;
    }

    function pausedClock(): Clock {
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
        // The response may reach a paused holder late.
        await holderClock.sleep(0);
        return response;
    }

    const first = addOwner();
    first.owns = true;
    first.owner.install(shard, undefined);

    const holders = Array.from({ length: options.holders }, (_, index) => {
        const holderClock = pausedClock();
        const quota = createFleetQuota({
            clock: holderClock,
            telemetry,
            self: () => `holder-${index}`,
            holdsLease: () => true,
            isFenced: incarnation => owners.find(({ id }) => id === incarnation)!.fenced,
            presumedOwner: () => current().id,
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
            const previous = current();
            previous.owns = false;
            const next = addOwner();
            next.owner.install(shard, previous.owner.release(shard));
            next.owns = true;
        },
        async killOwner() {
            const previous = current();
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
