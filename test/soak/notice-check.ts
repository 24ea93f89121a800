/**
 * Checks from what targets see that an instance which was told so leaves them alone.
 */

/** Notes requests, notices and disturbances in their order. */
export interface NoticeCheck {
    /** Notes that a caller sends a request to an instance. */
    sent(request: string, host: string): void;
    /** Notes that a request arrives at a target. */
    arrived(target: string, request: string): void;
    /** Notes that a caller got an answer which says that a target leaves. */
    passedOnLeaving(target: string, request: string): void;
    /** Notes that a target says to the sender of a request that it wants nothing for a time in milliseconds. */
    turnedAway(target: string, request: string, forMs: number): void;
    /** Notes that a target starts again, and that nothing holds that it said before. */
    restarted(target: string): void;
    /** Notes that an instance was restarted or stood still, which excuses what it was told before. */
    disturb(host: string): void;
}

/** Time in milliseconds after which a target that leaves must get no further requests. */
const leavingBoundMs = 2_000;
/** Time in milliseconds after a refusal in which requests may still arrive, and how many may afterwards. */
const turnedAwaySlackMs = 500;
const allowedLate = 2;

/** Time in milliseconds in which a disturbance, and an answer on its way, are over. */
const settleMs = 300;

interface Sent {
    host: string;
    sentAt: number;
}

function keyOf(target: string, { host }: Sent): string {
    return `${target} ${host}`;
}

/** Creates a check; violations are added to `broken`. */
export function createNoticeCheck(parts: { now(): number; broken: string[]; }): NoticeCheck {
    const { now, broken } = parts;
    const requests = new Map<string, Sent>();
    const leaving = new Map<string, number>();
    const turnedAway = new Map<string, { from: number; until: number; late: number; }>();
    const disturbedAt = new Map<string, number>();
    /** Number of times that a target has started again, now and when each request arrived there. */
    const starts = new Map<string, number>();
    const startsAtArrival = new Map<string, number>();

    function startsOf(target: string): number {
        return starts.get(target) ?? 0;
    }

    /** Tells whether an instance was undisturbed since a time. */
    function holds(host: string, since: number): boolean {
        return (disturbedAt.get(host) ?? -Infinity) + settleMs < since;
    }

    function checkLeaving(key: string, target: string, request: string, { host, sentAt }: Sent): void {
        const toldAt = leaving.get(key);
        if (toldAt !== undefined && sentAt > toldAt + leavingBoundMs && holds(host, toldAt)) {
            broken.push(
                `${request} reached ${target} from ${host} ${
                    Math.round(now() - toldAt)
                } ms after it said that it leaves`,
            );
        }
    }

    function checkTurnedAway(key: string, target: string, request: string, { host }: Sent): void {
        const told = turnedAway.get(key);
        if (
            told === undefined || now() < told.from || now() > told.until || !holds(host, told.from - turnedAwaySlackMs)
        ) {
            return;
        }
        told.late += 1;
        if (told.late > allowedLate) {
            broken.push(`${request} reached ${target} from ${host}, which it had turned away`);
        }
    }

    return {
        sent: (request, host) => void requests.set(request, { host, sentAt: now() }),
        arrived(target, request) {
            const sent = requests.get(request);
            startsAtArrival.set(`${target} ${request}`, startsOf(target));
            if (sent !== undefined) {
                const key = keyOf(target, sent);
                checkLeaving(key, target, request, sent);
                checkTurnedAway(key, target, request, sent);
            }
        },
        passedOnLeaving(target, request) {
            const sent = requests.get(request);
            // An answer of an earlier start may be passed on after the next one; what it says holds for that start only.
            if (sent !== undefined && startsAtArrival.get(`${target} ${request}`) === startsOf(target)) {
                const key = keyOf(target, sent);
                leaving.set(key, Math.min(now(), leaving.get(key) ?? Infinity));
            }
        },
        turnedAway(target, request, forMs) {
            const sent = requests.get(request);
            if (sent !== undefined) {
                turnedAway.set(keyOf(target, sent), { from: now() + turnedAwaySlackMs, until: now() + forMs, late: 0 });
            }
        },
        restarted(target) {
            starts.set(target, startsOf(target) + 1);
            const ofTarget = (key: string) => key.startsWith(`${target} `);
            [...leaving.keys()].filter(ofTarget).forEach(key => leaving.delete(key));
        },
        disturb: host => void disturbedAt.set(host, now()),
    };
}
