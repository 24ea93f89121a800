import { create } from "@bufbuild/protobuf";
import { createVirtualClock } from "@trefoilladder/clock";
import { createOwnerCall } from "@trefoilladder/entry";
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

/** Calls of an instance `self` in domain a; the owner is in domain b and a third instance in domain c. */
function createCalls(options: { answers: Record<string, AcquireResponse | undefined>; knowsOwner?: boolean; }) {
    const calls: { to: string; request: AcquireRequest; }[] = [];
    const ownerCall = createOwnerCall({
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
        ownership: { owns: () => false, presumedOwner: () => options.knowsOwner === false ? undefined : "owner" },
        quotaOwner: { acquire: () => notOwner },
    });
    return { calls, ownerCall };
}

const request = create(AcquireRequestSchema, { incarnation: "self", organisation: "laurel", tokens: 1 });

describe("calls to the owner of an organisation", () => {
    it("go through a third failure domain when the way to the owner's domain is cut", async () => {
        const { calls, ownerCall } = createCalls({ answers: { third: granted } });
        expect(await ownerCall.call("owner", request, 100)).toBeUndefined();
        expect(await ownerCall.call("owner", request, 100)).toBe(granted);
        expect(calls.map(({ to, request: { forward } }) => [to, forward])).toEqual([["owner", false], ["third", true]]);
    });

    it("go to any live instance when this one has no roster, as after a start without the log", async () => {
        const { calls, ownerCall } = createCalls({ answers: { near: granted }, knowsOwner: false });
        const relay = ownerCall.ownerOrRelay(0)!;
        expect(await ownerCall.call(relay, request, 100)).toBe(granted);
        expect(calls.map(({ to, request: { forward } }) => [to, forward])).toEqual([["near", true]]);
    });

    it("are passed on once, so that wrong views of the owner cannot make a loop", async () => {
        const { calls, ownerCall } = createCalls({ answers: { owner: granted } });
        expect(await ownerCall.answer({ ...request, forward: true })).toBe(granted);
        expect(calls.map(({ to, request: { forward } }) => [to, forward])).toEqual([["owner", false]]);
    });

    it("are not passed on unless the caller asks for it", async () => {
        const { calls, ownerCall } = createCalls({ answers: { owner: granted } });
        expect((await ownerCall.answer(request)).verdict).toBe(AcquireVerdict.NOT_OWNER);
        expect(calls).toEqual([]);
    });
});
