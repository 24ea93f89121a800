import { create } from "@bufbuild/protobuf";
import { createVirtualClock } from "@trefoilladder/clock";
import { shardOf } from "@trefoilladder/membership";
import { AcquireRequestSchema, AcquireVerdict } from "@trefoilladder/protocol";
import { createQuotaOwner, resolveQuotaOptions } from "@trefoilladder/quota";

const organisation = "laurel";
const limit = { ratePerSecond: 40, burst: 80 };

function createOwner(options: { fenced?: string; } = {}) {
    const clock = createVirtualClock();
    let number = 0n;
    const owner = createQuotaOwner({
        clock,
        self: () => "owner",
        owns: () => true,
        presumedOwner: () => undefined,
        isFenced: incarnation => incarnation === options.fenced,
        limitOf: () => limit,
        nextDelegationNumber: () => ++number,
    }, resolveQuotaOptions());
    owner.install(shardOf(organisation), undefined);
    const acquire = (incarnation: string, fields: { tokens?: number; demandPerSecond?: number; } = {}) =>
        owner.acquire(create(AcquireRequestSchema, { incarnation, organisation, tokens: 1, ...fields }));
    return { clock, owner, acquire };
}

describe("quota owner", () => {
    it("debits its bucket by the level of a new delegation", async () => {
        const { clock, owner, acquire } = createOwner();
        await clock.advance(1_000);
        acquire("holder-1", { tokens: 0 });
        const before = owner.describe()[0]!.level;
        const { delegation } = acquire("holder-1", { tokens: 0, demandPerSecond: 20 });
        expect(before).toBeCloseTo(40);
        expect(delegation!.level).toBeGreaterThan(1);
        expect(owner.describe()[0]!.level + delegation!.level).toBeCloseTo(before);
    });

    it("starts an organisation at level 0 after a failover, since the lost owner may have granted every token", async () => {
        const { clock, owner, acquire } = createOwner();
        await clock.advance(60_000);
        owner.install(shardOf(organisation), undefined);
        expect(acquire("holder-1").verdict).toBe(AcquireVerdict.REFUSED);
    });

    it("grants no tokens to a fenced incarnation, since its delegations may have been granted again", async () => {
        const { clock, acquire } = createOwner({ fenced: "holder-1" });
        await clock.advance(60_000);
        expect(acquire("holder-1").verdict).toBe(AcquireVerdict.FENCED);
    });
});
