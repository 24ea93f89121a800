import { rankTargets, targetSetLength, targetSetSize } from "@trefoilladder/placement";
import type { DomainMember } from "@trefoilladder/placement";

const domains = ["a", "b", "c"];

function members(prefix: string, count: number, domainOf = (index: number) => domains[index % 3]!): DomainMember[] {
    return Array.from({ length: count }, (_, index) => ({ id: `${prefix}-${index}`, domain: domainOf(index) }));
}

function setsOf(instances: readonly DomainMember[], targets: readonly DomainMember[], size = 6): Set<string>[] {
    return instances.map(self => {
        const { order, coveredCount } = rankTargets(self, instances, targets, size);
        return new Set(order.slice(0, Math.max(size, coveredCount)).map(position => targets[position]!.id));
    });
}

const idle = { unhealthyProbability: 0.01, pathFailureProbability: 0.01, utilisation: 0.3 };

describe("the target sets of a fleet", () => {
    // Guards against targets in no set, which would receive requests only while the others are full.
    test.each([
        ["34 instances", members("i", 34), members("t", 100)],
        ["118 instances", members("i", 118), members("t", 90)],
        ["293 instances", members("i", 293), members("t", 50)],
        ["two instances", members("i", 2), members("t", 30)],
        ["a domain without instances", members("i", 40, index => domains[index % 2]!), members("t", 60)],
        [
            "a domain with few targets",
            members("i", 60),
            members("t", 60, index => index < 4 ? "a" : domains[1 + index % 2]!),
        ],
    ])("cover all targets with %s", (_, instances, targets) => {
        const covered = new Set(setsOf(instances, targets).flatMap(set => [...set]));
        expect(covered.size).toBe(targets.length);
    });

    test("are small and in the instance's failure domain", () => {
        const instances = members("i", 118);
        const targets = members("t", 90);
        const domainById = new Map(targets.map(({ id, domain }) => [id, domain]));
        const sets = setsOf(instances, targets);
        const sizes = sets.map(set => set.size);
        expect(Math.max(...sizes)).toBeLessThanOrEqual(18);
        expect(sizes.reduce((sum, size) => sum + size, 0) / sizes.length).toBeLessThan(9);
        sets.forEach((set, index) => set.forEach(id => expect(domainById.get(id)).toBe(instances[index]!.domain)));
    });

    // Guards against connections to new targets for the whole fleet whenever an instance or a target restarts.
    test("change little when an instance or a target leaves", () => {
        const instances = members("i", 118);
        const targets = members("t", 90);
        const before = setsOf(instances, targets);
        const total = before.reduce((sum, set) => sum + set.size, 0);
        const changes = (after: Set<string>[]) =>
            after.reduce((sum, set, index) => sum + [...set].filter(id => !before[index]!.has(id)).length, 0);
        expect(changes(setsOf(instances.slice(0, -1), targets))).toBeLessThan(0.05 * total);
        expect(changes(setsOf(instances, targets.slice(0, -1)))).toBeLessThan(0.05 * total);
    });

    // Guards against all instances of a domain preferring the few targets that it has left.
    test("contain targets of all domains when the own domain has few", () => {
        const targets = members("t", 60, index => index < 4 ? "a" : domains[1 + index % 2]!);
        const sets = setsOf(members("i", 60), targets).filter((_, index) => index % 3 === 0);
        const largest = Math.max(...targets.slice(0, 4).map(({ id }) => sets.filter(set => set.has(id)).length));
        expect(largest).toBeLessThan(sets.length * 0.7);
    });
});

describe("the length of a set", () => {
    test("follows from the concurrent requests of the instance", () => {
        expect(targetSetSize(0)).toBe(6);
        expect(targetSetSize(1.6)).toBe(6);
        expect(targetSetSize(10)).toBe(14);
    });

    // Guards against requests that wait within the set while targets outside it have free slots.
    test.each([
        ["are busy", { utilisation: 0.9 }],
        ["are suspected", { unhealthyProbability: 0.9 }],
        ["cannot be reached from this instance", { pathFailureProbability: 0.9 }],
    ])("grows while targets %s", (_, fields) => {
        const candidates = Array.from({ length: 40 }, (_, index) => index < 10 ? { ...idle, ...fields } : idle);
        expect(targetSetLength(candidates, 6)).toBeGreaterThan(12);
        expect(targetSetLength(candidates, 6)).toBeLessThan(16);
        expect(targetSetLength(candidates.slice(10), 6)).toBe(6);
        expect(targetSetLength(candidates.slice(0, 10), 6)).toBe(10);
    });
});
