import { createVirtualClock } from "@trefoilladder/clock";
import { createIdempotencyRegister } from "@trefoilladder/idempotency";
import type { IdempotencyRegisterOptions, StoredResponse } from "@trefoilladder/idempotency";

function buildRegister(options: IdempotencyRegisterOptions = {}, incarnation = "entry-0:17") {
    const clock = createVirtualClock();
    const register = createIdempotencyRegister({ incarnation, clock }, options);
    const signal = new AbortController().signal;
    const issued = () => register.read(register.issue("laurel"), "laurel")._unsafeUnwrap();
    const claim = (key: ReturnType<typeof issued>, fingerprint = "POST /orders", deadlineMs = 100) =>
        register.claim(key, fingerprint, { deadlineAt: clock.now() + deadlineMs, signal });
    return { clock, register, issued, claim };
}

const response = (bytes = 2): StoredResponse => ({ status: 200, headers: [], body: Buffer.alloc(bytes) });

async function startRun(claimed: ReturnType<ReturnType<typeof buildRegister>["claim"]>) {
    const claim = (await claimed)._unsafeUnwrap();
    if (claim.kind !== "run") {
        throw new Error("the claim is not a run");
    }
    return claim.run;
}

describe("idempotency register", () => {
    it("refuses keys that were chosen by the caller, changed, or issued to another organisation", () => {
        const { register } = buildRegister();
        const key = register.issue("laurel");
        const changed = key.slice(0, -22) + "A".repeat(22);
        for (const [text, organisation] of [["order-17", "laurel"], [changed, "laurel"], [key, "mboni"]] as const) {
            expect(register.read(text, organisation)._unsafeUnwrapErr().code).toBe("idempotency_key_not_issued");
        }
        expect(register.read(key, "laurel").isOk()).toBe(true);
    });

    it("refuses a key of an earlier process with the same incarnation text, whose secret differs", () => {
        const key = buildRegister().register.issue("laurel");
        expect(buildRegister().register.read(key, "laurel").isErr()).toBe(true);
    });

    it("refuses an expired key and forgets its response", async () => {
        const { clock, register, issued, claim } = buildRegister({ lifetimeMs: 1_000, maxEntries: 1 });
        const key = issued();
        (await startRun(claim(key))).answered(response());
        expect((await claim(issued()))._unsafeUnwrapErr().code).toBe("idempotency_register_full");
        await clock.advance(1_000);
        expect(register.read(key.text, "laurel")._unsafeUnwrapErr().code).toBe("idempotency_key_expired");
        expect((await claim(key))._unsafeUnwrapErr().code).toBe("idempotency_key_expired");
        expect((await claim(issued())).isOk()).toBe(true);
    });

    it("lets exactly one of many submissions run and gives every other one its response", async () => {
        const { issued, claim } = buildRegister();
        const key = issued();
        const run = await startRun(claim(key));
        const others = Array.from({ length: 5 }, () => claim(key));
        run.answered(response());
        for (const other of await Promise.all(others)) {
            expect(other._unsafeUnwrap().kind).toBe("answered");
        }
    });

    it("lets exactly one waiting submission run after a run that did not happen", async () => {
        const { issued, claim } = buildRegister();
        const key = issued();
        const run = await startRun(claim(key));
        const others = [claim(key), claim(key)];
        run.notRun();
        const second = await startRun(others[0]!);
        second.answered(response());
        expect((await others[1]!)._unsafeUnwrap().kind).toBe("answered");
    });

    it("answers a waiting submission at its deadline without running it", async () => {
        const { clock, issued, claim } = buildRegister();
        const key = issued();
        await startRun(claim(key));
        const other = claim(key);
        await clock.advance(100);
        expect((await other)._unsafeUnwrapErr().code).toBe("request_running");
    });

    it("never runs a request again after an unknown outcome", async () => {
        const { issued, claim } = buildRegister();
        const key = issued();
        (await startRun(claim(key))).unknown();
        expect((await claim(key))._unsafeUnwrapErr().code).toBe("outcome_unknown");
        expect((await claim(key))._unsafeUnwrapErr().code).toBe("outcome_unknown");
    });

    it("refuses another request under the same key", async () => {
        const { issued, claim } = buildRegister();
        const key = issued();
        (await startRun(claim(key))).answered(response());
        expect((await claim(key, "POST /orders/other"))._unsafeUnwrapErr().code).toBe("idempotency_key_reused");
    });

    it("bounds stored bytes and still never runs the request again", async () => {
        const { issued, claim } = buildRegister({ maxStoredBytes: 100, maxResponseBytes: 80 });
        for (const [bytes, stored] of [[81, false], [80, true], [80, false]] as const) {
            const key = issued();
            (await startRun(claim(key))).answered(response(bytes));
            const again = await claim(key);
            expect(again.isOk() ? "answered" : again.error.code).toBe(stored ? "answered" : "response_not_stored");
        }
    });
});
