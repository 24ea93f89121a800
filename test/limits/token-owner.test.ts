import { createLimitGroup, createSharedLimit, createTokenOwner, rankOwners } from "@trefoilladder/limits";
import type { OwnerCandidate, TokenDecision } from "@trefoilladder/limits";

const limitName = "taipei";

function createFixture({ ratePerSecond = 10, burst = 20, isConfigured = true } = {}) {
    let now = 0;
    const group = createLimitGroup({ now: () => now, minChange: 1 });
    const limit = createSharedLimit({ ratePerSecond, burst, now, contactShare: 1 });
    const configure = () => group.add(limitName, limit);
    if (isConfigured) {
        configure();
    }
    const owner = createTokenOwner({ group, now: () => now });
    return {
        owner,
        group,
        limit,
        configure,
        advance: (ms: number) => now += ms,
        kinds: (count: number) => Array.from({ length: count }, () => owner.decide(limitName).kind),
    };
}

describe("the owner of a limit", () => {
    // Guards against a second burst after a restart: a process does not know what the fleet admitted before.
    test("starts with no more than the rate has earned since its own start", () => {
        const { owner, advance, kinds } = createFixture();
        advance(500);
        owner.updateContact(1, true);
        expect(kinds(10).filter(kind => kind === "granted")).toHaveLength(5);
    });

    // Guards against a burst from each of the owners that take a limit over from each other while instances start one after the other.
    test("starts with less when others started a little earlier and may have decided", () => {
        const { owner, advance, kinds } = createFixture();
        advance(500);
        owner.updateContact(1, true, 300);
        expect(kinds(10).filter(kind => kind === "granted")).toHaveLength(2);
    });

    test("starts with nothing when older instances are in contact, which may have admitted requests meanwhile", () => {
        const { owner, advance, kinds } = createFixture();
        advance(500);
        owner.updateContact(1, false);
        expect(kinds(1)).toEqual(["rejected"]);
    });

    // Guards against many instances that each take the few that they know for the whole fleet.
    test("does not decide before most known instances are in contact, or a time has passed", () => {
        const { owner, advance, kinds } = createFixture();
        advance(1_000);
        owner.updateContact(0.25, true);
        expect(kinds(1)).toEqual(["starting"]);
        advance(600);
        owner.updateContact(0.25, true);
        expect(kinds(1)).toEqual(["granted"]);
    });

    // Guards against requests within the plan that are rejected after a restart of all instances: one that starts before the others is
    // in contact with all that it knows, decides, and then hears of the rest, which lowers its part of the limit to a tenth.
    test("lets requests wait instead of rejecting them while it hears of instances that start with it", () => {
        const { owner, group, advance, kinds } = createFixture();
        advance(310);
        owner.updateContact(1, true);
        expect(kinds(1)).toEqual(["granted"]);
        group.setContactShare(0.1);
        owner.updateContact(0.1, true);
        expect(kinds(25).filter(kind => kind === "rejected")).toEqual([]);
        expect(kinds(1)).toEqual(["starting"]);
        group.setContactShare(1);
        owner.updateContact(1, true);
        expect(kinds(1)).toEqual(["rejected"]);
    });

    test("rejects requests again when other instances stay silent", () => {
        const { owner, group, advance, kinds } = createFixture();
        advance(310);
        owner.updateContact(1, true);
        group.setContactShare(0.1);
        owner.updateContact(0.1, true);
        advance(1_300);
        expect(kinds(30)).toContain("rejected");
    });

    // Guards against an owner that is in contact with the others before it has read its configuration: it began without a limit, and
    // the limit that came after it with an empty bucket.
    test("begins with its configuration, with what the rate has earned since its own start", () => {
        const { owner, configure, advance, kinds } = createFixture({ isConfigured: false });
        advance(500);
        owner.updateContact(1, true);
        expect(kinds(1)).toEqual(["starting"]);
        advance(500);
        configure();
        owner.updateContact(1, true);
        expect(kinds(20).filter(kind => kind === "granted")).toHaveLength(10);
    });

    // Guards against requests that wait for an owner which cannot read its configuration.
    test("knows no limit when it has no configuration after some seconds", () => {
        const { owner, advance, kinds } = createFixture({ isConfigured: false });
        advance(2_400);
        owner.updateContact(1, true);
        expect(kinds(1)).toEqual(["starting"]);
        advance(200);
        owner.updateContact(1, true);
        expect(kinds(1)).toEqual(["unknown"]);
    });

    // Guards against an instance that waits for limits although its configuration has none.
    test("begins with a configuration without limits", () => {
        const { owner, group, advance, kinds } = createFixture({ isConfigured: false });
        group.retain(new Set());
        advance(500);
        owner.updateContact(1, true);
        expect(owner.startsInMs()).toBe(0);
        expect(kinds(1)).toEqual(["unknown"]);
    });

    // Guards against a token that is taken twice because a response was lost.
    test("gives a repeated request the decision of the first", () => {
        const { owner, advance, limit } = createFixture();
        advance(500);
        owner.updateContact(1, true);
        const responses = [1, 2, 3].map(() => owner.answer({ id: "a1-1", name: limitName }));
        expect(responses.map(({ decision }) => decision.kind)).toEqual(["granted", "granted", "granted"]);
        expect(limit.admitted).toBe(1);
    });

    // Guards against rejected callers that return together, at a moment at which there is one token for all of them.
    test("spreads the callers that it rejects over the tokens to come", () => {
        const { owner, advance } = createFixture();
        advance(500);
        owner.updateContact(1, false);
        const waits = Array.from({ length: 20 }, () => owner.decide(limitName))
            .map((decision: TokenDecision) => decision.kind === "rejected" ? decision.retryAfterMs : 0);
        expect(waits[0]).toBeCloseTo(100);
        expect(waits[10]).toBeCloseTo(1_100);
        expect(Math.max(...waits)).toBeLessThanOrEqual(5_000);
    });

    test("does not know a limit that is not in its configuration", () => {
        expect(createFixture().owner.decide("another").kind).toBe("unknown");
    });
});

/** Returns the delays of granted requests in milliseconds, and -1 for others. */
function delays(decisions: readonly TokenDecision[]): number[] {
    return decisions.map(decision => decision.kind === "granted" ? decision.delayMs ?? 0 : -1);
}

describe("the owner of a limit, shortly after its start", () => {
    // Guards against requests within the plan that are rejected because the bucket begins empty.
    test("lets requests wait for the tokens to come, each for its own", () => {
        const { owner, advance } = createFixture();
        advance(300);
        owner.updateContact(1, true);
        const decisions = Array.from({ length: 6 }, () => owner.decide(limitName, 250));
        expect(delays(decisions)).toEqual([0, 0, 0, 100, 200, -1]);
    });

    // Guards against a request that waits although its token will not be there in time.
    test("rejects a request at once whose token will be there too late", () => {
        const { owner, advance } = createFixture();
        advance(300);
        owner.updateContact(1, false);
        expect(owner.decide(limitName, 90)).toMatchObject({ kind: "rejected", nextTokenMs: 100 });
        expect(delays([owner.decide(limitName, 100)])).toEqual([100]);
    });

    // Guards against more than rate and burst in a window: each owner that begins reserves tokens beside what it grants.
    test("reserves no more than the part of the burst that it does not begin with", () => {
        const { owner, advance } = createFixture({ burst: 5 });
        advance(300);
        owner.updateContact(1, true);
        const decisions = Array.from({ length: 20 }, () => owner.decide(limitName, 800));
        expect(delays(decisions).filter(ms => ms >= 0)).toHaveLength(5);
    });

    test("lets requests wait for at most 800 ms, and not beyond its first 5 s", () => {
        const { owner, advance } = createFixture();
        advance(300);
        owner.updateContact(1, false);
        const decisions = Array.from({ length: 20 }, () => owner.decide(limitName, 2_000));
        expect(Math.max(...delays(decisions))).toBe(800);
        advance(4_650);
        delays(Array.from({ length: 50 }, () => owner.decide(limitName, 2_000)))
            .forEach(ms => expect(ms).toBeLessThanOrEqual(50));
        advance(60);
        expect(owner.decide(limitName, 2_000).kind).toBe("rejected");
    });

    // Guards against a bucket that counts a reserved token twice because its request was repeated.
    test("reserves one token for a repeated request", () => {
        const { owner, limit, advance } = createFixture();
        advance(300);
        owner.updateContact(1, false);
        const request = { id: "a1-1", name: limitName, maxDelayMs: 500 };
        const responses = [owner.answer(request), owner.answer(request)];
        expect(delays(responses.map(({ decision }) => decision))).toEqual([100, 100]);
        expect(limit.admitted).toBe(1);
    });
});

/** Returns instances that all started long ago. */
function candidates(count: number): OwnerCandidate[] {
    return Array.from({ length: count }, (_, index) => ({ address: `10.1.0.${index}:7660`, runningSince: 0 }));
}

const now = 60_000;
const names = Array.from({ length: 200 }, (_, index) => `organisation-${index}`);

describe("the choice of owners", () => {
    test("is the same whatever the order in which the instances are known", () => {
        const known = candidates(40);
        const reversed = [...known].reverse();
        names.forEach(name => expect(rankOwners(name, known, now)).toEqual(rankOwners(name, reversed, now)));
    });

    // Guards against limits whose tokens are granted by two owners because the loss of an instance moved all limits.
    test("moves only the limits of an instance that is lost, each to the second in rank", () => {
        const known = candidates(40);
        for (const name of names) {
            const [first, second] = rankOwners(name, known, now);
            const left = known.filter(({ address }) => address !== first);
            expect(rankOwners(name, left, now)[0]).toBe(second);
        }
    });

    test("deals limits to all instances", () => {
        const owners = new Set(names.map(name => rankOwners(name, candidates(10), now)[0]));
        expect(owners.size).toBe(10);
    });

    // Guards against an owner that has just started, whose copy of the bucket holds nothing although the limit has not been used.
    test("passes over instances that started after the others", () => {
        const known = candidates(3).map((candidate, index) =>
            index === 0 ? { ...candidate, runningSince: now - 1_000 } : candidate
        );
        names.forEach(name => expect(rankOwners(name, known, now)).not.toContain(known[0]!.address));
        names.forEach(name => expect(rankOwners(name, known, now + 4_000)).toContain(known[0]!.address));
    });

    test("takes all instances when they started together", () => {
        const known = candidates(3).map(candidate => ({ ...candidate, runningSince: now - 600 }));
        expect(rankOwners("taipei", known, now)).toHaveLength(3);
    });
});
