/**
 * Checks that an instance sends no requests to a target that announced its departure or throttled the instance. The check
 * uses the requests that arrive at the targets.
 */

/** Records requests, the targets' notices and disruptions in the order in which they occur. */
export interface NoticeCheck {
    /** Records that a caller sends a request to an instance. */
    sent(request: string, host: string): void;
    /** Records that a request arrives at a target. */
    arrived(target: string, request: string): void;
    /** Records that a caller received a response which announces that a target is leaving. */
    leavingRelayed(target: string, request: string): void;
    /** Records that a target rejects a request and asks its sender to wait for a time in milliseconds. */
    throttled(target: string, request: string, retryAfterMs: number): void;
    /** Records that a target restarts; its earlier leaving notices no longer apply. */
    restarted(target: string): void;
    /** Records that an instance was restarted or paused; notices that it received before are not checked. */
    disrupted(host: string): void;
}

/** Time after which a leaving target must receive no more requests, in milliseconds. */
const leavingLimitMs = 2_000;
/** Time after a rejection in which requests may still arrive, in milliseconds, and how many may arrive later. */
const throttleSlackMs = 500;
const maxLateRequests = 2;

/** Time in which a disruption, or the delivery of a response in flight, ends, in milliseconds. */
const settleMs = 300;

interface SentRequest {
    host: string;
    sentAt: number;
}

function pairKey(target: string, { host }: SentRequest): string {
    return `${target} ${host}`;
}

/** Creates a check; violations are added to `violations`. */
export function createNoticeCheck(parts: { now(): number; violations: string[]; }): NoticeCheck {
    const { now, violations } = parts;
    const requests = new Map<string, SentRequest>();
    const leaving = new Map<string, number>();
    const throttled = new Map<string, { from: number; until: number; late: number; }>();
    const disruptedAt = new Map<string, number>();
    /** Number of restarts of each target, now and at the arrival of each request. */
    const restarts = new Map<string, number>();
    const restartsAtArrival = new Map<string, number>();

    function restartsOf(target: string): number {
        return restarts.get(target) ?? 0;
    }

    /** Returns whether an instance has had no disruption since a time. */
    function isUndisruptedSince(host: string, since: number): boolean {
        return (disruptedAt.get(host) ?? -Infinity) + settleMs < since;
    }

    function checkLeaving(key: string, target: string, request: string, { host, sentAt }: SentRequest): void {
        const announcedAt = leaving.get(key);
        if (
            announcedAt !== undefined && sentAt > announcedAt + leavingLimitMs && isUndisruptedSince(host, announcedAt)
        ) {
            violations.push(
                `${request} reached ${target} from ${host} ${
                    Math.round(now() - announcedAt)
                } ms after it announced that it is leaving`,
            );
        }
    }

    function checkThrottled(key: string, target: string, request: string, { host }: SentRequest): void {
        const throttle = throttled.get(key);
        if (
            throttle === undefined || now() < throttle.from || now() > throttle.until
            || !isUndisruptedSince(host, throttle.from - throttleSlackMs)
        ) {
            return;
        }
        throttle.late += 1;
        if (throttle.late > maxLateRequests) {
            violations.push(`${request} reached ${target} from ${host}, which it had throttled`);
        }
    }

    return {
        sent: (request, host) => void requests.set(request, { host, sentAt: now() }),
        arrived(target, request) {
            const sent = requests.get(request);
            restartsAtArrival.set(`${target} ${request}`, restartsOf(target));
            if (sent !== undefined) {
                const key = pairKey(target, sent);
                checkLeaving(key, target, request, sent);
                checkThrottled(key, target, request, sent);
            }
        },
        leavingRelayed(target, request) {
            const sent = requests.get(request);
            // A response from before a restart may be relayed after it; its notice applies only to the earlier process.
            if (sent !== undefined && restartsAtArrival.get(`${target} ${request}`) === restartsOf(target)) {
                const key = pairKey(target, sent);
                leaving.set(key, Math.min(now(), leaving.get(key) ?? Infinity));
            }
        },
        throttled(target, request, retryAfterMs) {
            const sent = requests.get(request);
            if (sent !== undefined) {
                throttled.set(pairKey(target, sent), {
                    from: now() + throttleSlackMs,
                    until: now() + retryAfterMs,
                    late: 0,
                });
            }
        },
        restarted(target) {
            restarts.set(target, restartsOf(target) + 1);
            const ofTarget = (key: string) => key.startsWith(`${target} `);
            [...leaving.keys()].filter(ofTarget).forEach(key => leaving.delete(key));
        },
        disrupted: host => void disruptedAt.set(host, now()),
    };
}
