import { createLimitGroup, createSharedLimit } from "@trefoilladder/limits";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { allowedInWindow, maxInWindow } from "./fleet-simulation";

/** An organisation that sends ten times its rate while some instances stand still for a while. */
interface PausedFleet {
    seed: number;
    instances: number;
    /** Instances that are paused from `pausedAtMs` for `pauseMs`. */
    paused: number;
    pauseMs: number;
    ratePerSecond: number;
    burst: number;
}

const stepMs = 20;
const tickMs = 200;
const digestDelayMs = 100;
const pausedAtMs = 6_000;
const durationMs = 20_000;
const demandFactor = 10;
const windowMs = 5_000;

const hotOrganisation: PausedFleet = {
    seed: 1,
    instances: 40,
    paused: 12,
    pauseMs: 5_000,
    ratePerSecond: 50,
    burst: 100,
};

/**
 * Simulates the instances; returns the times of the admissions. A paused instance first handles the requests that were sent
 * to it meanwhile, and receives the digests of the others only after them.
 */
function simulate(fleet: PausedFleet): { all: number[]; byPaused: number[]; } {
    const random = createRandomSource(fleet.seed);
    let now = 0;
    const resumedAtMs = pausedAtMs + fleet.pauseMs;
    const isPaused = (index: number) => index < fleet.paused && now >= pausedAtMs && now < resumedAtMs;
    const instances = Array.from({ length: fleet.instances }, (_, index) => {
        const group = createLimitGroup({ now: () => now, minChange: 1 });
        const { ratePerSecond, burst } = fleet;
        const limit = createSharedLimit({
            ratePerSecond,
            burst,
            now,
            contactShare: 1,
            lastContactAt: group.lastContactAt,
        });
        group.add("taipei", limit);
        return { group, index, queued: 0, digests: [] as { at: number; apply(): void; }[] };
    });
    const all: number[] = [];
    const byPaused: number[] = [];

    function take({ group, index }: typeof instances[number]): void {
        if (group.get("taipei")!.take(now) === 0) {
            all.push(now);
            if (index < fleet.paused) {
                byPaused.push(now);
            }
        }
    }

    for (; now < durationMs; now += stepMs) {
        for (const instance of instances) {
            const { group, index } = instance;
            const expected = fleet.ratePerSecond * demandFactor / fleet.instances * stepMs / 1_000;
            instance.queued += random.next() < expected ? 1 : 0;
            if (isPaused(index)) {
                continue;
            }
            for (; instance.queued > 0; instance.queued -= 1) {
                take(instance);
            }
            instance.digests.filter(({ at }) => at <= now).forEach(({ apply }) => apply());
            instance.digests = instance.digests.filter(({ at }) => at > now);
            if ((now + index * stepMs) % tickMs === 0) {
                group.tick();
                const totals = group.collectChangedTotals();
                instances.filter(other => other !== instance).forEach(other =>
                    other.digests.push({
                        at: now + digestDelayMs,
                        apply: () => other.group.applyPeerTotals(String(index), totals),
                    })
                );
            }
        }
    }
    return { all, byPaused };
}

// Guards against instances that admit a whole burst each after a pause: their copies of the bucket had refilled meanwhile, and
// the requests that waited were handled before the reports of what the others had admitted.
describe("instances that stood still for some seconds", () => {
    function expectWithinLimit(fleet: PausedFleet): void {
        const { all } = simulate(fleet);
        expect(maxInWindow(all)).toBeLessThanOrEqual(allowedInWindow(fleet));
    }

    test.each([1, 2, 3])("stay within an organisation's limit with the others, seed %d", seed => {
        expectWithinLimit({ ...hotOrganisation, seed });
    });

    // Guards against the opposite: reports of the time of the pause that are subtracted from a bucket which is capped at its
    // burst, so that the instance refuses the organisation for as long as it was paused.
    test("admit their part again within two seconds", () => {
        const { byPaused } = simulate(hotOrganisation);
        const { ratePerSecond, instances, paused, pauseMs } = hotOrganisation;
        const from = pausedAtMs + pauseMs + 2_000;
        const admitted = byPaused.filter(at => at >= from && at < from + windowMs).length;
        const part = ratePerSecond * paused / instances * windowMs / 1_000;
        expect(admitted).toBeGreaterThan(part / 2);
    });
});
