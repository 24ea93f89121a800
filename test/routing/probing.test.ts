import { createVirtualClock } from "@trefoilladder/clock";
import { assignProbers, createRandomSource, createRouter } from "@trefoilladder/routing";
import type { Router } from "@trefoilladder/routing";
import { createSyntheticPools, listTargets, runTraffic, service } from "./synthetic-service";

const members = Array.from(
    { length: 12 },
    (_, index) => ({ id: `entry-${index}`, domain: ["a", "b", "c"][index % 3]! }),
);

it("guards against probers that share a failure domain, differ between instances or change with unrelated members", () => {
    let moved = 0;
    for (let index = 0; index < 200; index++) {
        const target = `target-${index}`;
        const probers = assignProbers(target, members);
        expect(new Set(probers.map(({ domain }) => domain)).size).toBe(2);
        expect(assignProbers(target, [...members].reverse())).toEqual(probers);
        const without = assignProbers(target, members.filter(({ id }) => id !== "entry-5"));
        moved += !probers.some(({ id }) => id === "entry-5") && without.some((member, at) => member !== probers[at])
            ? 1
            : 0;
    }
    expect(moved).toBe(0);
});

it("guards against probes from more than two instances, more often than every 2 s or despite recent traffic", async () => {
    const clock = createVirtualClock();
    const probes = new Map<string, number>();
    const routers = members.map(self => {
        const router = createRouter({
            clock,
            self,
            random: createRandomSource(1),
            createPool: createSyntheticPools(clock, () => ({ headersMs: 1 })),
        });
        router.setProbingMembers(members);
        router.updateTargets(listTargets(4));
        return router;
    });
    const collect = (router: Router) => {
        for (const { target, probes: count } of router.collectEvidence(service).targets) {
            probes.set(target, (probes.get(target) ?? 0) + count);
        }
    };
    await clock.advance(20_000);
    routers.forEach(collect);
    for (const { id } of listTargets(4)) {
        expect(probes.get(id)).toBeGreaterThanOrEqual(16);
        expect(probes.get(id)).toBeLessThanOrEqual(22);
    }
    probes.clear();
    routers.forEach(router =>
        void runTraffic(router, { clock, random: createRandomSource(2), ratePerSecond: 20, endsAt: 30_000 })
    );
    await clock.advance(10_000);
    routers.forEach(collect);
    for (const { id } of listTargets(4)) {
        expect(probes.get(id) ?? 0).toBeLessThanOrEqual(3);
    }
    await Promise.all(routers.map(router => router.close()));
});
