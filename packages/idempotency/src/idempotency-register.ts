import type { Clock } from "@trefoilladder/clock";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { IdempotencyFailure } from "./idempotency-failure";
import { createKeyIssuer, parseIssuedKey } from "./issued-key";
import type { IssuedKey } from "./issued-key";
import type { Claim, Run, StoredResponse } from "./run";

/** Options of the register. */
export interface IdempotencyRegisterOptions {
    /**
     * Time from issue until a key expires, in milliseconds.
     * @default 600_000
     */
    lifetimeMs?: number;
    /**
     * Maximum number of used keys in the register. 164 non-idempotent requests/s over 10 minutes need 98,400.
     * @default 100_000
     */
    maxEntries?: number;
    /**
     * Maximum total size of the stored responses, in bytes.
     * @default 33_554_432
     */
    maxStoredBytes?: number;
    /**
     * Largest response that is stored, in bytes.
     * @default 65_536
     */
    maxResponseBytes?: number;
}

/** Register of the keys issued by this incarnation and of the requests that used them. */
export interface IdempotencyRegister {
    readonly incarnation: string;
    /** Time from issue until a key expires, in milliseconds. */
    readonly lifetimeMs: number;
    /** Largest response that is stored, in bytes. */
    readonly maxResponseBytes: number;
    /** Issues a key for one request of the organisation. */
    issue(organisation: string): string;
    /** Parses a key; also authenticates a key of this incarnation and checks its expiry. */
    verify(text: string, organisation: string): Result<IssuedKey, IdempotencyFailure>;
    /**
     * Claims the single run allowed under a key of this incarnation. While another submission is running, waits until it
     * ends, the deadline (monotonic milliseconds) passes or the signal aborts.
     *
     * @param fingerprint text that is equal for every submission of the same request
     */
    claim(
        key: IssuedKey,
        fingerprint: string,
        limits: { deadlineAt: number; signal: AbortSignal; },
    ): Promise<Result<Claim, IdempotencyFailure>>;
}

const sweepIntervalMs = 1_000;

interface Entry {
    fingerprint: string;
    expiresAt: number;
    state: "running" | "answered" | "unknown";
    response?: StoredResponse;
    /** Callbacks that wake the submissions waiting for the run to end. */
    waiters: Set<() => void>;
}

function responseBytes(response: StoredResponse): number {
    return response.headers.reduce((sum, text) => sum + text.length, response.body.length);
}

/** Creates the register of an incarnation. Its keys are authenticated by a secret that is kept in memory only. */
export function createIdempotencyRegister(
    parts: { incarnation: string; clock: Clock; },
    options: IdempotencyRegisterOptions = {},
): IdempotencyRegister {
    const { incarnation, clock } = parts;
    const lifetimeMs = options.lifetimeMs ?? 600_000;
    const maxEntries = options.maxEntries ?? 100_000;
    const maxStoredBytes = options.maxStoredBytes ?? 32 * 1024 * 1024;
    const maxResponseBytes = options.maxResponseBytes ?? 64 * 1024;
    const issuer = createKeyIssuer(incarnation);
    // Entries are in order of first use; each is dropped within twice the lifetime of a key.
    const entries = new Map<string, Entry>();
    let storedBytes = 0;
    let sweptAt = -Infinity;

    function drop(text: string, entry: Entry): void {
        entries.delete(text);
        storedBytes -= entry.response === undefined ? 0 : responseBytes(entry.response);
    }

    /** Drops expired entries from the front. An expired key is rejected before its entry is looked up. */
    function dropExpired(): void {
        const now = clock.now();
        for (const [text, entry] of entries) {
            if (entry.expiresAt > now || entry.state === "running") {
                return;
            }
            drop(text, entry);
        }
    }

    /** Drops every expired entry; needed when `dropExpired` stops at an entry in front of expired ones. */
    function sweep(): void {
        const now = clock.now();
        // Without this limit, every request would scan a full register.
        if (now - sweptAt < sweepIntervalMs) {
            return;
        }
        sweptAt = now;
        for (const [text, entry] of entries) {
            if (entry.expiresAt <= now && entry.state !== "running") {
                drop(text, entry);
            }
        }
    }

    function wakeWaiters(entry: Entry): void {
        const waiters = [...entry.waiters];
        entry.waiters.clear();
        waiters.forEach(waiter => waiter());
    }

    function createRun(text: string, entry: Entry): Run {
        return {
            recordResponse(response) {
                entry.state = "answered";
                const size = response === undefined ? 0 : responseBytes(response);
                const fits = response !== undefined && response.body.length <= maxResponseBytes
                    && storedBytes + size <= maxStoredBytes;
                if (fits) {
                    entry.response = response;
                    storedBytes += size;
                }
                wakeWaiters(entry);
            },
            recordUnknown() {
                entry.state = "unknown";
                wakeWaiters(entry);
            },
            recordNotRun() {
                entries.delete(text);
                wakeWaiters(entry);
            },
        };
    }

    const claimResultByState: Record<"answered" | "unknown", (entry: Entry) => Result<Claim, IdempotencyFailure>> = {
        answered: ({ response }) =>
            response === undefined
                ? err(new IdempotencyFailure("response_not_stored", "the request ran and its response is not stored"))
                : ok({ kind: "answered", response }),
        unknown: () => err(new IdempotencyFailure("outcome_unknown", "the request under this key may have run")),
    };

    function claimRun(key: IssuedKey, fingerprint: string): Result<Claim, IdempotencyFailure> {
        dropExpired();
        if (entries.size >= maxEntries) {
            sweep();
        }
        if (entries.size >= maxEntries) {
            return err(new IdempotencyFailure("idempotency_register_full", "too many idempotency keys are in use"));
        }
        const entry: Entry = { fingerprint, expiresAt: key.expiresAt, state: "running", waiters: new Set() };
        entries.set(key.text, entry);
        return ok({ kind: "run", run: createRun(key.text, entry) });
    }

    function waitForRun(entry: Entry, waitMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const timerAbort = new AbortController();
            const finish = () => {
                entry.waiters.delete(finish);
                signal.removeEventListener("abort", finish);
                timerAbort.abort();
                resolve();
            };
            entry.waiters.add(finish);
            signal.addEventListener("abort", finish, { once: true });
            void clock.sleep(waitMs, timerAbort.signal).then(finish);
        });
    }

    return {
        incarnation,
        lifetimeMs,
        maxResponseBytes,
        issue: organisation => issuer.issue(organisation, clock.now() + lifetimeMs),
        verify(text, organisation) {
            const key = parseIssuedKey(text);
            const issuedElsewhere = key !== undefined && key.incarnation !== incarnation;
            if (key === undefined || (!issuedElsewhere && !issuer.verify(key, organisation))) {
                return err(
                    new IdempotencyFailure("idempotency_key_not_issued", "the key was not issued to this organisation"),
                );
            }
            return !issuedElsewhere && key.expiresAt <= clock.now()
                ? err(new IdempotencyFailure("idempotency_key_expired", "the idempotency key has expired"))
                : ok(key);
        },
        async claim(key, fingerprint, { deadlineAt, signal }) {
            for (;;) {
                if (key.expiresAt <= clock.now()) {
                    return err(new IdempotencyFailure("idempotency_key_expired", "the idempotency key has expired"));
                }
                const entry = entries.get(key.text);
                if (entry === undefined) {
                    return claimRun(key, fingerprint);
                }
                if (entry.fingerprint !== fingerprint) {
                    return err(
                        new IdempotencyFailure("idempotency_key_reused", "the key belongs to a different request"),
                    );
                }
                if (entry.state !== "running") {
                    return claimResultByState[entry.state](entry);
                }
                const waitMs = deadlineAt - clock.now();
                if (waitMs <= 0 || signal.aborted) {
                    return err(new IdempotencyFailure("request_running", "the request under this key still runs"));
                }
                await waitForRun(entry, waitMs, signal);
            }
        },
    };
}
