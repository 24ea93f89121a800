/**
 * Pulls of rows from the other members.
 */

import type { Clock } from "@trefoilladder/clock";
import type { Row } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { lastAliveOf } from "./member-table";
import type { Listing, MemberTable } from "./member-table";
import { membershipFailure } from "./membership-failure";
import type { MembershipFailure } from "./membership-failure";
import type { PeerLink, PeerLinks } from "./peer-links";

/** Dependencies of the pulls. Times are in milliseconds. */
export interface PullParts extends MemberTable {
    clock: Clock;
    telemetry: Telemetry;
    links: Pick<PeerLinks, "to">;
    pullIntervalMs: number;
    pullConcurrency: number;
    pullTimeoutMs: number;
    /** Source of uniform numbers in [0, 1). */
    random(): number;
    countsAsMember(listing: Listing, now: number): boolean;
    /** Returns whether this instance has left; it pulls no rows then. */
    hasLeft(): boolean;
    /** Returns the row of this instance. */
    selfRow(): Row;
    /** Merges the rows of a pull that was sent at a monotonic time. */
    merge(rows: readonly Row[], sentAt: number): void;
}

/** Pulls of rows. */
export interface PeerPulls {
    /** Pulls from one member. */
    pull(id: string, link: PeerLink): Promise<Result<void, MembershipFailure>>;
    /** Pulls once from every member; the request carries this instance's state. */
    announce(): Promise<void>;
    /** Pulls in concurrent loops until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/** Row age above which every pull loop but the first prefers the peer with the oldest row. */
const staleRowMs = 600;
const minBackoffMs = 200;
const maxBackoffMs = 3_000;

/** Creates the pulls. */
export function createPeerPulls(parts: PullParts): PeerPulls {
    const { clock, telemetry, links, pullIntervalMs, pullConcurrency, pullTimeoutMs, random } = parts;
    let runSignal: AbortSignal | undefined;

    async function pull(id: string, link: PeerLink): Promise<Result<void, MembershipFailure>> {
        const sentAt = clock.now();
        link.pulledAt = sentAt;
        try {
            const response = await link.client.peer.pullRows(
                { self: parts.selfRow() },
                { timeoutMs: pullTimeoutMs, signal: runSignal },
            );
            link.failures = 0;
            link.retryAt = -Infinity;
            parts.merge(response.rows, sentAt);
            return ok();
        }
        catch (thrown) {
            const failure = membershipFailure(thrown, id);
            telemetry.count("membership.pull_failures", { code: failure.code });
            link.failures += 1;
            const backoff = Math.min(minBackoffMs * 2 ** link.failures, maxBackoffMs);
            link.retryAt = clock.now() + backoff * (0.5 + random());
            return err(failure);
        }
    }

    function choosePeer(loop: number): [string, PeerLink] | undefined {
        const now = clock.now();
        const ready: [string, PeerLink][] = [];
        for (const listing of parts.listings.values()) {
            const link = parts.countsAsMember(listing, now) ? links.to(listing.id) : undefined;
            if (link !== undefined && link.retryAt <= now) {
                ready.push([listing.id, link]);
            }
        }
        if (loop > 0) {
            let stalest: [string, PeerLink] | undefined;
            let stalestAt = now - staleRowMs;
            for (const choice of ready) {
                const lastAliveAt = lastAliveOf(parts, choice[0]);
                if (lastAliveAt < stalestAt && choice[1].pulledAt < now - staleRowMs) {
                    [stalest, stalestAt] = [choice, lastAliveAt];
                }
            }
            if (stalest !== undefined) {
                return stalest;
            }
        }
        return ready[Math.floor(random() * ready.length)];
    }

    async function runPullLoop(loop: number, signal: AbortSignal): Promise<void> {
        await clock.sleep(random() * pullIntervalMs, signal);
        while (!signal.aborted) {
            const roundStartedAt = clock.now();
            const choice = choosePeer(loop);
            if (choice !== undefined && !parts.hasLeft()) {
                // A failed pull is not retried here; a later round retries it after the peer's backoff.
                await pull(...choice);
            }
            const intervalMs = pullIntervalMs * (0.8 + 0.4 * random());
            await clock.sleep(Math.max(1, intervalMs - (clock.now() - roundStartedAt)), signal);
        }
    }

    async function announce(): Promise<void> {
        const now = clock.now();
        const pulls: Promise<unknown>[] = [];
        for (const listing of parts.listings.values()) {
            const link = parts.countsAsMember(listing, now) ? links.to(listing.id) : undefined;
            if (link !== undefined) {
                pulls.push(pull(listing.id, link));
            }
        }
        await Promise.all(pulls);
    }

    return {
        pull,
        announce,
        async run(signal) {
            runSignal = signal;
            await Promise.all(Array.from({ length: pullConcurrency }, (_, loop) => runPullLoop(loop, signal)));
        },
    };
}
