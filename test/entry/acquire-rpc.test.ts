import { create } from "@bufbuild/protobuf";
import { createVirtualClock } from "@trefoilladder/clock";
import { createAcquireRpc } from "@trefoilladder/entry";
import type { Member, MembershipPeer } from "@trefoilladder/membership";
import { AcquireRequestSchema, AcquireResponseSchema, AcquireVerdict, MemberState } from "@trefoilladder/protocol";
import type { AcquireRequest, AcquireResponse } from "@trefoilladder/protocol";
import { createTelemetry } from "@trefoilladder/telemetry";

const granted = create(AcquireResponseSchema, { verdict: AcquireVerdict.GRANTED, delaysMs: [0] });
const notOwner = create(AcquireResponseSchema, { verdict: AcquireVerdict.NOT_OWNER });

function member(incarnation: string, domain: string): Member {
    return {
        incarnation,
        instanceId: incarnation,
        domain,
        origin: "http://127.0.0.1:1",
        state: MemberState.LIVE,
        ageMs: 0,
        appliedOffset: 0,
        fenced: false,
    };
}

/** Creates the acquire calls of `self` in domain a; the owner is in domain b and a third instance in domain c. */
function createTestAcquireRpc(
    options: { answers: Record<string, AcquireResponse | undefined>; ownerKnown?: boolean; },
) {
    const calls: { to: string; request: AcquireRequest; }[] = [];
    const acquireRpc = createAcquireRpc({
        clock: createVirtualClock(),
        telemetry: createTelemetry({ instance: "test", level: "silent" }),
        random: () => 0,
        membership: {
            self: () => "self",
            members: () => [member("self", "a"), member("near", "a"), member("owner", "b"), member("third", "c")],
            peer: to =>
                ({
                    async acquire(request: AcquireRequest) {
                        calls.push({ to, request });
                        return options.answers[to] ?? Promise.reject(new Error("unreachable"));
                    },
                }) as unknown as MembershipPeer,
        },
        ownership: { owns: () => false, presumedOwner: () => options.ownerKnown === false ? undefined : "owner" },
        quotaOwner: { acquire: () => notOwner },
    });
    return { calls, acquireRpc };
}

const request = create(AcquireRequestSchema, { incarnation: "self", organisation: "laurel", tokens: 1 });

describe("acquire calls to the owner of an organisation", () => {
    it("go through a third failure domain when the owner is not directly reachable", async () => {
        const { calls, acquireRpc } = createTestAcquireRpc({ answers: { third: granted } });
        expect(await acquireRpc.callOwner("owner", request, 100)).toBeUndefined();
        expect(await acquireRpc.callOwner("owner", request, 100)).toBe(granted);
        expect(calls.map(({ to, request: { forward } }) => [to, forward])).toEqual([["owner", false], ["third", true]]);
    });

    it("go to any live instance when this one has no roster after a start while the log is unavailable", async () => {
        const { calls, acquireRpc } = createTestAcquireRpc({ answers: { near: granted }, ownerKnown: false });
        const relay = acquireRpc.ownerOrRelay(0)!;
        expect(await acquireRpc.callOwner(relay, request, 100)).toBe(granted);
        expect(calls.map(({ to, request: { forward } }) => [to, forward])).toEqual([["near", true]]);
    });

    it("are forwarded at most once, so that wrong views of the owner cannot cause a loop", async () => {
        const { calls, acquireRpc } = createTestAcquireRpc({ answers: { owner: granted } });
        expect(await acquireRpc.handleAcquire({ ...request, forward: true })).toBe(granted);
        expect(calls.map(({ to, request: { forward } }) => [to, forward])).toEqual([["owner", false]]);
    });

    it("are not forwarded unless the request asks for it", async () => {
        const { calls, acquireRpc } = createTestAcquireRpc({ answers: { owner: granted } });
        expect((await acquireRpc.handleAcquire(request)).verdict).toBe(AcquireVerdict.NOT_OWNER);
        expect(calls).toEqual([]);
    });
});
