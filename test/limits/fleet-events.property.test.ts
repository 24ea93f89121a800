import { createRandomSource } from "../../packages/routing/src/random-source";
import { allowedInWindow, maxInWindow, simulateFleet, warmUpMs } from "./fleet-simulation";
import type { EventKind, FleetEvent, FleetScenario } from "./fleet-simulation";

/** First and number of the drawn scenarios: `LIMIT_FIRST=100 LIMIT_RUNS=50` plays scenarios 100 to 149. */
const first = Number(process.env.LIMIT_FIRST ?? 1);
const runs = Number(process.env.LIMIT_RUNS ?? 5);
const scenarios = Array.from({ length: runs }, (_, index) => first + index);

const kinds: EventKind[] = ["restart", "restart", "pause", "separate", "isolate", "withdraw"];
const maxEvents = 8;
const eventPhaseMs = 10_000;

/** Draws a fleet, a plan and events of all kinds that come in series and overlap. */
function drawScenario(seed: number): FleetScenario {
    const random = createRandomSource(seed);
    const draw = (min: number, max: number) => Math.floor(min + random.next() * (max - min + 1));
    const instances = draw(10, 48);
    const plan = { ratePerSecond: draw(2, 80), burst: draw(2, 120) };

    function drawEvent(): FleetEvent[] {
        const kind = kinds[draw(0, kinds.length - 1)]!;
        const share = random.next() < 0.3 ? 1 : random.next();
        const affected = Array.from({ length: instances }, (_, index) => index).filter(() => random.next() < share);
        const atMs = warmUpMs + draw(1, eventPhaseMs / 10) * 10;
        const forMs = draw(10, 300) * 10;
        const event = { kind, atMs, instances: affected, forMs };
        return kind === "withdraw" ? [event, { ...event, kind: "grant", atMs: atMs + 20 }] : [event];
    }

    return {
        seed,
        instances,
        plan,
        demandPerSecond: () => 10 * plan.ratePerSecond,
        isUneven: random.next() < 0.5,
        lossShare: random.next() < 0.5 ? 0 : 0.3 * random.next(),
        events: Array.from({ length: draw(1, maxEvents) }, drawEvent).flat(),
    };
}

// Guards against combinations of restarts, pauses, partitions and changes that single tests do not play (incident inc3).
describe("an organisation that sends ten times its rate stays within its limit", () => {
    test.each(scenarios)("whatever happens to the instances, scenario %d", seed => {
        const scenario = drawScenario(seed);
        const { admitted } = simulateFleet(scenario);
        expect(maxInWindow(admitted)).toBeLessThanOrEqual(allowedInWindow(scenario.plan));
    });
});
