import type { RequestWork } from "../../packages/gateway/src/service-work";
import type { TargetCandidate } from "../../packages/gateway/src/target-tracker";
import { createWorkAdmission } from "../../packages/gateway/src/work-admission";
import type { WorkedAdmission } from "../../packages/gateway/src/work-admission";
import { createRandomSource } from "../../packages/routing/src/random-source";

const urgentWork: RequestWork = { serviceMs: 94, objectiveMs: 300, separation: undefined, isTight: false };
const otherWork: RequestWork = { serviceMs: 577, objectiveMs: 2_000, separation: undefined, isTight: false };

/** Returns targets with the same expected wait, and further ones without. */
function candidatesOf(work: RequestWork, waitMs: number, idle: number): TargetCandidate[] {
    return Array.from({ length: 20 }, (_, index) => ({
        target: undefined!,
        unhealthyProbability: 0.02,
        pathFailureProbability: 0.02,
        utilisation: 1,
        isCold: false,
        isSameDomain: true,
        msSinceOutcome: 0,
        finish: {
            waitMs: index < idle ? 0 : waitMs,
            serviceMs: work.serviceMs,
            objectiveMs: work.objectiveMs,
            slowdown: 1,
            isTight: undefined,
            isReserved: false,
        },
    }));
}

function request(fields: Partial<WorkedAdmission> & { waitMs: number; idle?: number; }): WorkedAdmission {
    return {
        remainingMs: 6_000,
        priority: 0,
        organisation: "taipei",
        work: urgentWork,
        candidates: own => candidatesOf(own, fields.waitMs, fields.idle ?? 0),
        ...fields,
    };
}

/** Returns the share of requests that are admitted, for each of some kinds that arrive in turns. */
function admittedShares(kinds: readonly WorkedAdmission[]): number[] {
    const source = createRandomSource(7);
    const random = () => source.next();
    let now = 0;
    const admission = createWorkAdmission({ now: () => now, random });
    const counts = kinds.map(() => 0);
    const rounds = 1_000;
    for (let round = 0; round < rounds; round++) {
        kinds.forEach((kind, index) => {
            now += 50;
            counts[index]! += admission.admit(kind).isOk() ? 1 : 0;
        });
    }
    return counts.map(count => count / rounds);
}

describe("admission by expected work", () => {
    test("admits everything while nothing waits", () => {
        expect(admittedShares([request({ waitMs: 0 }), request({ waitMs: 0, priority: 2, work: otherWork })])).toEqual([
            1,
            1,
        ]);
    });

    // Guards against requests that occupy a target although their caller has given up by then.
    test("refuses at once what no target can finish in time", () => {
        expect(admittedShares([request({ waitMs: 2_000, remainingMs: 1_500 })])).toEqual([0]);
    });

    // Guards against a service that refuses everything because of its busiest targets.
    test("admits requests that some of the targets can finish in time", () => {
        expect(admittedShares([request({ waitMs: 2_000, remainingMs: 1_500, idle: 16 })])).toEqual([1]);
    });

    // Guards against an urgent class that is late behind a surge of a less urgent one, and against one that starves.
    test("admits fewer of a less urgent class, but at least half of them", () => {
        const [urgent, other] = admittedShares([
            request({ waitMs: 130 }),
            request({ waitMs: 130, priority: 2, work: otherWork }),
        ]);
        expect(other!).toBeLessThan(0.7);
        expect(other!).toBeGreaterThan(0.45 * urgent!);
    });

    // Guards against all instances that admit or refuse every request because they read the same reports.
    test("admits a smaller share the longer the wait is", () => {
        const shares = [400, 700, 1_000].map(waitMs => admittedShares([request({ waitMs, work: otherWork })])[0]!);
        expect(shares[0]!).toBeGreaterThan(shares[1]! + 0.05);
        expect(shares[1]!).toBeGreaterThan(shares[2]! + 0.05);
        expect(shares[2]!).toBeGreaterThan(0);
    });

    // Guards against returned requests that make others late, although they are late themselves already.
    test("prefers requests whose latency objective can be met to those that return too late", () => {
        const source = createRandomSource(7);
        let now = 0;
        const admission = createWorkAdmission({ now: () => now, random: () => source.next() });
        const admitted = (fields: Partial<WorkedAdmission> & { waitMs: number; }) => {
            now += 50;
            return admission.admit(request({ work: otherWork, ...fields })).isOk() ? 1 : 0;
        };
        for (let count = 0; count < 50; count++) {
            admitted({ waitMs: 0 });
        }
        const counts = { first: 0, returned: 0 };
        for (let count = 0; count < 500; count++) {
            counts.first += admitted({ waitMs: 750 });
            counts.returned += admitted({ waitMs: 750, remainingMs: 4_000 });
        }
        expect(counts.returned).toBeLessThan(0.6 * counts.first);
        expect(counts.returned).toBeGreaterThan(0);
    });
});
