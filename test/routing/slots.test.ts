import { createVirtualClock } from "@trefoilladder/clock";
import type { VirtualClock } from "@trefoilladder/clock";
import { createRandomSource, createRouter } from "@trefoilladder/routing";
import type { Attempt, Router, RoutingPolicy, SlotRequest } from "@trefoilladder/routing";
import { createSyntheticPools, listTargets, service } from "./synthetic-service";

interface Trial {
    clock: VirtualClock;
    router: Router;
    acquire(request?: Partial<SlotRequest>): ReturnType<Router["acquire"]>;
}

let routers: Router[] = [];

afterEach(async () => {
    await Promise.all(routers.map(router => router.close()));
    routers = [];
});

function startTrial(policy: Partial<RoutingPolicy> = {}, targetCount = 1): Trial {
    const clock = createVirtualClock();
    const createPool = createSyntheticPools(clock, () => ({ headersMs: 2 }));
    const router = createRouter({ clock, random: createRandomSource(3), createPool, policy });
    routers.push(router);
    router.updateTargets(listTargets(targetCount));
    return {
        clock,
        router,
        acquire: request =>
            router.acquire({
                service,
                organisation: "laurel",
                deadlineAt: clock.now() + 1_000,
                excludedTargets: new Set(),
                signal: new AbortController().signal,
                ...request,
            }),
    };
}

async function fillSlots(trial: Trial, count: number, organisation = "laurel"): Promise<Attempt[]> {
    const attempts: Attempt[] = [];
    for (let taken = 0; taken < count; taken++) {
        attempts.push((await trial.acquire({ organisation }))._unsafeUnwrap());
    }
    return attempts;
}

it("guards against one organisation's waiting requests delaying those of another", async () => {
    const trial = startTrial();
    const held = await fillSlots(trial, 3, "burst");
    const served: string[] = [];
    const enqueue = (organisation: string) =>
        void trial.acquire({ organisation }).then(result => result.isOk() && served.push(organisation));
    for (let index = 0; index < 20; index++) {
        enqueue("burst");
    }
    enqueue("small");
    await trial.clock.advance(1);
    held[0]!.release({ outcome: "completed", headersMs: 2 });
    await trial.clock.advance(1);
    expect(served[0]).toBe("small");
});

it("guards against a full queue rejecting an organisation that has few waiting requests", async () => {
    const trial = startTrial({ maxWaitingRequests: 5 });
    await fillSlots(trial, 3, "burst");
    const refusals: string[] = [];
    for (let index = 0; index < 6; index++) {
        void trial.acquire({ organisation: "burst" }).then(result =>
            result.isErr() && refusals.push(`burst ${result.error.code}`)
        );
    }
    void trial.acquire({ organisation: "small" }).then(result =>
        result.isErr() && refusals.push(`small ${result.error.code}`)
    );
    await trial.clock.advance(1);
    expect(refusals).toEqual(["burst queue_full", "burst queue_full"]);
});

it("guards against queueing a request whose expected wait for a slot exceeds its deadline", async () => {
    const trial = startTrial();
    for (let round = 0; round < 30; round++) {
        const [attempt] = await fillSlots(trial, 1);
        await trial.clock.advance(200);
        attempt!.release({ outcome: "completed", headersMs: 200 });
    }
    for (let taken = 0; taken < 200; taken++) {
        void trial.acquire({ deadlineAt: trial.clock.now() + 100_000 });
    }
    const startedAt = trial.clock.now();
    const refused = await trial.acquire({ organisation: "laurel", deadlineAt: startedAt + 500 });
    expect(refused._unsafeUnwrapErr().code).toBe("deadline_too_short");
    expect(trial.clock.now()).toBe(startedAt);
});

it("guards against waiters that stay in the queue after their caller disconnects or their deadline passes", async () => {
    const trial = startTrial();
    const held = await fillSlots(trial, 3);
    const caller = new AbortController();
    const cancelled = trial.acquire({ signal: caller.signal });
    const expired = trial.acquire({ deadlineAt: trial.clock.now() + 100 });
    caller.abort();
    expect((await cancelled)._unsafeUnwrapErr().code).toBe("cancelled");
    await trial.clock.advance(150);
    expect((await expired)._unsafeUnwrapErr().code).toBe("deadline_too_short");
    held.forEach(attempt => attempt.release({ outcome: "completed", headersMs: 2 }));
    expect(trial.router.targets(service)[0]!.inFlight).toBe(0);
});

it("guards against sending requests to a target that the list or a response marks as leaving", async () => {
    const trial = startTrial({}, 3);
    const [attempt] = await fillSlots(trial, 1);
    attempt!.release({ outcome: "completed", headersMs: 2, draining: true });
    trial.router.updateTargets(
        listTargets(3).map(listed =>
            listed.id === "target-0" || attempt!.target.id === "target-0" && listed.id === "target-1"
                ? { ...listed, state: "leaving" as const }
                : listed
        ),
    );
    const leaving = trial.router.targets(service).filter(target => target.leaving).map(({ id }) => id);
    expect(leaving).toHaveLength(2);
    for (let round = 0; round < 50; round++) {
        const [next] = await fillSlots(trial, 1);
        expect(leaving).not.toContain(next!.target.id);
        next!.release({ outcome: "completed", headersMs: 2 });
    }
    trial.router.updateTargets(listTargets(3).map(listed => ({ ...listed, state: "leaving" as const })));
    expect((await trial.acquire())._unsafeUnwrapErr().code).toBe("no_target");
});

it("guards against sending requests before the Retry-After of a shed response ends", async () => {
    const trial = startTrial();
    const [attempt] = await fillSlots(trial, 1);
    attempt!.release({ outcome: "shed", retryAfterMs: 400 });
    const short = await trial.acquire({ deadlineAt: trial.clock.now() + 300 });
    expect(short._unsafeUnwrapErr().code).toBe("deadline_too_short");
    let servedAt: number | undefined;
    void trial.acquire().then(() => servedAt = trial.clock.now());
    await trial.clock.advance(399);
    expect(servedAt).toBeUndefined();
    await trial.clock.advance(400);
    expect(servedAt).toBeGreaterThanOrEqual(400);
});

it("guards against a cold target getting a full share at once or staying cold forever", async () => {
    const trial = startTrial({}, 4);
    trial.router.updateTargets(listTargets(5));
    const countCold = async () => {
        let cold = 0;
        for (let round = 0; round < 400; round++) {
            const [attempt] = await fillSlots(trial, 1);
            cold += attempt!.target.id === "target-4" ? 1 : 0;
            attempt!.release({ outcome: "completed", headersMs: 2 });
        }
        return cold;
    };
    expect(trial.router.targets(service)[4]).toMatchObject({ cold: true, slots: 1 });
    expect(await countCold()).toBeLessThan(40);
    await trial.clock.advance(10_001);
    expect(trial.router.targets(service)[4]!.cold).toBe(false);
    expect(await countCold()).toBeGreaterThan(50);
});

it("guards against an in-flight limit that ignores shed responses or stays low after them", async () => {
    const trial = startTrial();
    const slots = () => trial.router.targets(service)[0]!.slots;
    expect(slots()).toBe(3);
    const [attempt] = await fillSlots(trial, 1);
    attempt!.release({ outcome: "shed", retryAfterMs: 10 });
    expect(slots()).toBe(1);
    await trial.clock.advance(300);
    for (let round = 0; round < 40; round++) {
        const attempts = await fillSlots(trial, slots());
        attempts.forEach(held => held.release({ outcome: "completed", headersMs: 2 }));
    }
    expect(slots()).toBe(6);
});
