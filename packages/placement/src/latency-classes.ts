/**
 * Separation of requests with little slack from the others of the same service.
 *
 * Load pattern: requests of 94 ms with an objective of 300 ms share 69 targets with requests of 577 ms with an objective of
 * 2,000 ms. Load reports are up to 0.6 s old when 118 instances read them, which is longer than most queues last, so no choice by
 * reports keeps the short requests from queueing behind the long ones. They therefore prefer a small part of the targets, which
 * the long requests avoid. The part is chosen by hashes of the targets' ids and by the observed shares of work, without a message.
 */

import { createHash } from "node:crypto";

/** How the requests of a service are separated. */
export interface Separation {
    /** Requests with at most this slack in milliseconds prefer the reserved targets. */
    maxTightSlackMs: number;
    /** Share of the targets that is reserved for them. */
    reservedShare: number;
}

/** Work and slack of a service's routes. */
export interface LatencyClasses {
    /** Records a request; the slack is its latency objective less its expected service time. */
    record(route: string, slackMs: number, serviceMs: number): void;
    /** Returns the separation; undefined while the slacks are alike or one side has too little work. */
    separation(): Separation | undefined;
}

interface RouteWork {
    slackMs: number;
    workMs: number;
}

/** Weight of older requests is divided by e after as many further ones. */
const requestLifetime = 300;
/** Requests before the shares of work are used. */
const minRequests = 30;
/** Ratio of the slacks of two routes from which they are separated. */
const minSlackRatio = 3;
/** Reserved share of the targets divided by the share of work; short requests wait little while these targets are half idle. */
const reserveFactor = 1.45;
/** Largest reserved share; with more, the remaining targets could not carry the other requests. */
const maxReservedShare = 0.4;
const minSlackMs = 1;

/** Creates the classes of a service without requests. */
export function createLatencyClasses(): LatencyClasses {
    const routes = new Map<string, RouteWork>();
    let count = 0;
    let cached: Separation | undefined;
    let cachedCount = 0;

    function compute(): Separation | undefined {
        const sorted = [...routes.values()].sort((a, b) => a.slackMs - b.slackMs);
        const totalMs = sorted.reduce((sum, { workMs }) => sum + workMs, 0);
        let split = 0;
        let widest = minSlackRatio;
        for (let index = 1; index < sorted.length; index++) {
            const ratio = sorted[index]!.slackMs / sorted[index - 1]!.slackMs;
            if (ratio >= widest) {
                widest = ratio;
                split = index;
            }
        }
        const tightMs = sorted.slice(0, split).reduce((sum, { workMs }) => sum + workMs, 0);
        const reservedShare = reserveFactor * tightMs / totalMs;
        return split === 0 || !(reservedShare > 0 && reservedShare <= maxReservedShare)
            ? undefined
            : { maxTightSlackMs: sorted[split - 1]!.slackMs * Math.sqrt(widest), reservedShare };
    }

    return {
        record(route, slackMs, serviceMs) {
            const decay = Math.exp(-1 / requestLifetime);
            routes.forEach(work => work.workMs *= decay);
            const work = routes.get(route) ?? { slackMs, workMs: 0 };
            work.slackMs = Math.max(minSlackMs, slackMs);
            work.workMs += serviceMs;
            routes.set(route, work);
            count += 1;
        },
        separation() {
            if (count < minRequests) {
                return undefined;
            }
            if (count - cachedCount >= minRequests / 2) {
                cached = compute();
                cachedCount = count;
            }
            return cached;
        },
    };
}

/** Services with fewer targets are not separated. */
const minTargets = 12;

/** Returns the ids of the reserved targets; each failure domain gets its part. */
export function reservedTargets(
    targets: readonly { id: string; domain: string; }[],
    reservedShare: number,
): ReadonlySet<string> {
    if (targets.length < minTargets) {
        return new Set();
    }
    const byDomain = new Map<string, string[]>();
    for (const { id, domain } of targets) {
        byDomain.set(domain, [...byDomain.get(domain) ?? [], id]);
    }
    return new Set([...byDomain.values()].flatMap(ids => {
        const ranked = ids.map(id => ({ id, rank: createHash("sha1").update(id).digest("hex") }))
            .sort((a, b) => a.rank < b.rank ? -1 : 1);
        return ranked.slice(0, Math.round(ids.length * reservedShare)).map(({ id }) => id);
    }));
}
