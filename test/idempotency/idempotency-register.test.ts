import { createVirtualClock } from "@trefoilladder/clock";
import { createIdempotencyRegister } from "@trefoilladder/idempotency";
import type { IdempotencyRegisterOptions, StoredResponse } from "@trefoilladder/idempotency";

function createRegister(options: IdempotencyRegisterOptions = {}, incarnation = "entry-0:17") {
    const clock = createVirtualClock();
    const register = createIdempotencyRegister({ incarnation, clock }, options);
    const signal = new AbortController().signal;
    const issueKey = () => register.verify(register.issue("laurel"), "laurel")._unsafeUnwrap();
    const claim = (key: ReturnType<typeof issueKey>, fingerprint = "POST /orders", deadlineMs = 100) =>
        register.claim(key, fingerprint, { deadlineAt: clock.now() + deadlineMs, signal });
    return { clock, register, issueKey, claim };
}

const response = (bytes = 2): StoredResponse => ({ status: 200, headers: [], body: Buffer.alloc(bytes) });

async function startRun(claimed: ReturnType<ReturnType<typeof createRegister>["claim"]>) {
    const claim = (await claimed)._unsafeUnwrap();
    if (claim.kind !== "run") {
        throw new Error("the claim returned a stored response instead of a run");
    }
    return claim.run;
}

describe("idempotency register", () => {
    it("rejects keys that were chosen by the caller, altered, or issued to another organisation", () => {
        const { register } = createRegister();
        const key = register.issue("laurel");
        const alteredKey = key.slice(0, -22) + "A".repeat(22);
        for (const [text, organisation] of [["order-17", "laurel"], [alteredKey, "laurel"], [key, "mboni"]] as const) {
            expect(register.verify(text, organisation)._unsafeUnwrapErr().code).toBe("idempotency_key_not_issued");
        }
        expect(register.verify(key, "laurel").isOk()).toBe(true);
    });

    it("rejects a key of an earlier process with the same incarnation text but a different secret", () => {
        const key = createRegister().register.issue("laurel");
        expect(createRegister().register.verify(key, "laurel").isErr()).toBe(true);
    });

    it("rejects an expired key and drops its response", async () => {
        const { clock, register, issueKey, claim } = createRegister({ lifetimeMs: 1_000, maxEntries: 1 });
        const key = issueKey();
        (await startRun(claim(key))).recordResponse(response());
        expect((await claim(issueKey()))._unsafeUnwrapErr().code).toBe("idempotency_register_full");
        await clock.advance(1_000);
        expect(register.verify(key.text, "laurel")._unsafeUnwrapErr().code).toBe("idempotency_key_expired");
        expect((await claim(key))._unsafeUnwrapErr().code).toBe("idempotency_key_expired");
        expect((await claim(issueKey())).isOk()).toBe(true);
    });

    it("runs exactly one of many submissions and returns its response to the others", async () => {
        const { issueKey, claim } = createRegister();
        const key = issueKey();
        const run = await startRun(claim(key));
        const others = Array.from({ length: 5 }, () => claim(key));
        run.recordResponse(response());
        for (const other of await Promise.all(others)) {
            expect(other._unsafeUnwrap().kind).toBe("answered");
        }
    });

    it("runs exactly one waiting submission after the first one did not run", async () => {
        const { issueKey, claim } = createRegister();
        const key = issueKey();
        const run = await startRun(claim(key));
        const others = [claim(key), claim(key)];
        run.recordNotRun();
        const second = await startRun(others[0]!);
        second.recordResponse(response());
        expect((await others[1]!)._unsafeUnwrap().kind).toBe("answered");
    });

    it("rejects a waiting submission at its deadline without running it", async () => {
        const { clock, issueKey, claim } = createRegister();
        const key = issueKey();
        await startRun(claim(key));
        const other = claim(key);
        await clock.advance(100);
        expect((await other)._unsafeUnwrapErr().code).toBe("request_running");
    });

    it("never runs a request again after an unknown outcome", async () => {
        const { issueKey, claim } = createRegister();
        const key = issueKey();
        (await startRun(claim(key))).recordUnknown();
        expect((await claim(key))._unsafeUnwrapErr().code).toBe("outcome_unknown");
        expect((await claim(key))._unsafeUnwrapErr().code).toBe("outcome_unknown");
    });

    it("rejects a different request under the same key", async () => {
        const { issueKey, claim } = createRegister();
        const key = issueKey();
        (await startRun(claim(key))).recordResponse(response());
        expect((await claim(key, "POST /orders/other"))._unsafeUnwrapErr().code).toBe("idempotency_key_reused");
    });

    it("limits stored bytes and never runs a request again when its response is not stored", async () => {
        const { issueKey, claim } = createRegister({ maxStoredBytes: 100, maxResponseBytes: 80 });
        for (const [bytes, stored] of [[81, false], [80, true], [80, false]] as const) {
            const key = issueKey();
            (await startRun(claim(key))).recordResponse(response(bytes));
            const retry = await claim(key);
            expect(retry.isOk() ? "answered" : retry.error.code).toBe(stored ? "answered" : "response_not_stored");
        }
    });
});
