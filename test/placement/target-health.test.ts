import { createTargetHealth, outcome } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

describe("target health", () => {
    test("suspects a gray target after few outcomes and recovers within the duration of a gray failure", () => {
        const health = createTargetHealth(0);
        health.observe(outcome.failure, 100);
        health.observe(outcome.failure, 300);
        expect(health.unhealthyProbability(300)).toBeGreaterThan(0.9);
        expect(health.unhealthyProbability(15_000)).toBeLessThan(0.15);
    });

    test("trusts a target again after successes", () => {
        const health = createTargetHealth(0);
        health.observe(outcome.failure, 0);
        for (let index = 1; index <= 6; index++) {
            health.observe(outcome.success, index * 50);
        }
        expect(health.unhealthyProbability(300)).toBeLessThan(0.1);
    });

    // Guards against a cascade under load: a fifth of all attempts was late at every target, and each suspected target
    // shifted its requests to the rest.
    test("does not suspect a target for outcomes that are common at all targets of its service", () => {
        const health = createTargetHealth(0);
        for (let index = 1; index <= 20; index++) {
            health.observe(index % 5 === 0 ? outcome.late : outcome.success, index * 100, 0.6, 0.2);
        }
        expect(health.unhealthyProbability(2_000)).toBeLessThan(0.1);
        const shedding = createTargetHealth(0);
        for (let index = 1; index <= 20; index++) {
            shedding.observe(outcome.shed, index * 100, 1, 0.55);
        }
        expect(shedding.unhealthyProbability(2_000)).toBeLessThan(0.1);
    });

    // About one request in eighty fails at any target, after its service time. Guards against each such error keeping requests
    // away from a healthy target for seconds.
    test("does not suspect a target for an error after the typical service time", () => {
        const health = createTargetHealth(0);
        health.observe(outcome.success, 100);
        health.observe(outcome.requestFailure, 200);
        expect(health.unhealthyProbability(200)).toBeLessThan(0.15);
    });

    // Guards against a slow target that is not suspected because lateness is common: nine of 22 targets were twelve times
    // slower than usual, attempts were late at all targets, and 39 requests in nine seconds timed out at one slow target.
    test("suspects a target at which requests time out while they are late at all targets", () => {
        const health = createTargetHealth(0);
        for (let index = 1; index <= 4; index++) {
            health.observe(outcome.late, index * 250, 0.6, 0.35);
            health.observe(outcome.timedOut, index * 250 + 100, 0.8, 0.03);
        }
        expect(health.unhealthyProbability(1_100)).toBeGreaterThan(0.9);
    });

    // Guards against a target that fails every request after its service time and is never suspected.
    test("suspects a target that responds only with errors after the typical service time", () => {
        const health = createTargetHealth(0);
        for (let index = 1; index <= 8; index++) {
            health.observe(outcome.requestFailure, index * 100);
        }
        expect(health.unhealthyProbability(800)).toBeGreaterThan(0.9);
    });

    // Guards against suspicion of targets at the normal failure rate of about one request in eighty.
    test("rarely suspects a healthy target", () => {
        const random = createRandomSource(7);
        const health = createTargetHealth(0);
        let suspectedMs = 0;
        for (let now = 0; now < 600_000; now += 160) {
            health.observe(random.next() < 0.012 ? outcome.failure : outcome.success, now);
            suspectedMs += health.unhealthyProbability(now + 80) > 0.6 ? 160 : 0;
        }
        expect(suspectedMs / 600_000).toBeLessThan(0.02);
    });

    test("detects a target that fails half of its requests within a second at six requests per second", () => {
        const random = createRandomSource(11);
        const detectionsMs: number[] = [];
        for (let trial = 0; trial < 50; trial++) {
            const health = createTargetHealth(0);
            let now = 0;
            while (health.unhealthyProbability(now) < 0.6 && now < 10_000) {
                now += 160;
                health.observe(random.next() < 0.55 ? outcome.failure : outcome.success, now);
            }
            detectionsMs.push(now);
        }
        const sorted = detectionsMs.sort((a, b) => a - b);
        expect(sorted[25]).toBeLessThanOrEqual(500);
        expect(sorted[45]).toBeLessThanOrEqual(1_000);
    });
});
