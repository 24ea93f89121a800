import { createVirtualClock } from "@trefoilladder/clock";
import type { VirtualClock } from "@trefoilladder/clock";
import type { EjectionDecision, ReportEvidenceResponse, TargetEvidence } from "@trefoilladder/protocol";
import { createEjectionCoordinator, createRandomSource } from "@trefoilladder/routing";
import type { EjectionCoordinator } from "@trefoilladder/routing";

const ids = Array.from({ length: 10 }, (_, index) => `target-${index}`);

interface Trial {
    clock: VirtualClock;
    coordinator: EjectionCoordinator;
    /** Sends the report of each domain's instance every 500 ms; returns the last response. */
    run(
        ms: number,
        rowOf: (domain: string, target: string) => Partial<TargetEvidence>,
        inForce?: Partial<EjectionDecision>[],
    ): Promise<ReportEvidenceResponse>;
}

function startTrial(): Trial {
    const clock = createVirtualClock();
    const coordinator = createEjectionCoordinator({
        service: "dossier",
        clock,
        random: createRandomSource(7),
        targets: () => ids.map(id => ({ id, leaving: false, cold: false })),
    });
    return {
        clock,
        coordinator,
        async run(ms, rowOf, inForce = []) {
            let response: ReportEvidenceResponse | undefined;
            for (let passed = 0; passed < ms; passed += 500) {
                for (const domain of ["a", "b", "c"]) {
                    const targets = ids.map(target => ({
                        target,
                        requests: 10,
                        failures: 0,
                        stalls: 0,
                        connectFailures: 0,
                        latencyP50Us: 4_000,
                        latencyP95Us: 8_000,
                        probes: 0,
                        probeFailures: 0,
                        overdue: 0,
                        ...rowOf(domain, target),
                    }));
                    response = coordinator.handleReport({
                        incarnation: `entry-${domain}`,
                        domain,
                        service: "dossier",
                        intervalMs: 500,
                        targets: targets as never,
                        inForce: inForce as never,
                    });
                    await clock.advance(domain === "c" ? 168 : 166);
                }
            }
            return response!;
        },
    };
}

const decisionsOf = (response: ReportEvidenceResponse) =>
    response.decisions.map(({ target, domains }) => ({ target, domains }));

it("guards against a fleet-wide ejection because of a partition of one domain", async () => {
    const trial = startTrial();
    const response = await trial.run(
        5_000,
        (domain, target) =>
            domain === "a" && target === "target-3" ? { requests: 10, connectFailures: 10, latencyP50Us: 0 } : {},
    );
    expect(decisionsOf(response)).toEqual([{ target: "target-3", domains: ["a"] }]);
});

it("guards against a bad target staying in use in a domain that detects it after another one", async () => {
    const trial = startTrial();
    const badIn = (domains: string[]) => (domain: string, target: string) =>
        domains.includes(domain) && target === "target-3" ? { failures: 10 } : {};
    await trial.run(3_000, badIn(["a"]));
    const response = await trial.run(1_500, badIn(["b"]));
    expect(decisionsOf(response)).toEqual([{ target: "target-3", domains: [] }]);
});

it("guards against missing a bad target that only the pooled evidence of all domains reveals", async () => {
    const trial = startTrial();
    const response = await trial.run(
        6_000,
        (_domain, target) =>
            target === "target-3" ? { requests: 1, failures: 0, latencyP50Us: 40_000 } : { requests: 1 },
    );
    expect(decisionsOf(response)).toEqual([{ target: "target-3", domains: [] }]);
});

it("guards against a new coordinator dropping the ejections in force and ejecting others below the floor", async () => {
    const trial = startTrial();
    const held = ["target-0", "target-1", "target-2", "target-3"].map(target => ({
        target,
        domains: [],
        evidence: "slow",
        count: 3,
        remainingMs: 30_000,
    }));
    const response = await trial.run(4_000, (_domain, target) => target === "target-8" ? { failures: 10 } : {}, held);
    expect(decisionsOf(response).map(({ target }) => target)).toEqual(held.map(({ target }) => target));
    expect(response.decisions[0]!.count).toBe(3);
    expect(response.floorReached).toBe(true);
});

it("guards against a target returning while probes fail or staying ejected after they succeed", async () => {
    const trial = startTrial();
    const ejected = await trial.run(4_000, (_domain, target) => target === "target-3" ? { failures: 10 } : {});
    expect(ejected.decisions).toHaveLength(1);
    const probing = (probeFailures: number) => (_domain: string, target: string) =>
        target === "target-3" ? { requests: 0, latencyP50Us: 0, probes: 1, probeFailures } : {};
    expect((await trial.run(10_000, probing(1))).decisions).toHaveLength(1);
    // The last failed probe counts for up to 5 s.
    expect((await trial.run(6_000, probing(0))).decisions).toHaveLength(0);
});

it("guards against ejections because of an error that every target returns, such as for a bad request", async () => {
    const trial = startTrial();
    const response = await trial.run(6_000, () => ({ failures: 3 }));
    expect(response.decisions).toEqual([]);
});

it("guards against ejecting a target because of failed health probes alone", async () => {
    const trial = startTrial();
    const response = await trial.run(
        6_000,
        (_domain, target) => target === "target-3" ? { probes: 1, probeFailures: 1 } : {},
    );
    expect(response.decisions).toEqual([]);
});
