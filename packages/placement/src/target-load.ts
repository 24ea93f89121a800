/**
 * Load of a target: its latest report plus the requests that this instance has sent since.
 *
 * Load pattern: 40 instances share targets of 6 slots and each receives few responses, so reports are shared between all
 * instances and are of little use after about a second. A target without a recent report is assumed to be as busy as its
 * peers; if it were assumed idle, all instances would send requests to it at once.
 */

/** Load that a target reports with a response. */
export interface LoadReport {
    running: number;
    waiting: number;
    slots: number;
}

/** Load of one target. */
export interface TargetLoad {
    report(load: LoadReport, now: number): void;
    /** Counts a request of this instance; `workMs` is its expected service time, if known. */
    begin(workMs?: number): void;
    end(): void;
    readonly inFlight: number;
    /**
     * Returns the reported requests divided by the slots, which decays to 0 without further reports: a target that responds
     * to no instance has received no requests, or does not respond, which its health covers.
     */
    reportedUtilisation(now: number): number;
    /**
     * Returns the estimated requests at the target divided by its slots; above 1, requests wait there. `peerUtilisation`
     * is the typical value of the service's targets.
     */
    utilisation(slots: number, now: number, peerUtilisation: number): number;
    /** Returns the expected time in milliseconds that a request sent now waits for a slot. */
    waitMs(state: WaitState, now: number): number;
}

/** State of a target's service that the expected wait depends on. */
export interface WaitState {
    slots: number;
    peerUtilisation: number;
    /** Mean service time in milliseconds of the requests at this target. */
    meanWorkMs: number;
}

/** Time constant in milliseconds of the exponential decay of a report's weight. */
const reportLifetimeMs = 700;
/**
 * Time constant in milliseconds with which a report decays in the average of a service. It is longer than the requests that
 * would bring another report.
 */
const averagedReportLifetimeMs = 2_000;

/** Deviation of the number of requests at a target from a fresh estimate, and from an old one, as a share of the root of its slots. */
const freshDeviation = 0.25;
const staleDeviation = 0.8;

/** Returns the mean of the positive part of a normal variable. */
function meanPositivePart(mean: number, deviation: number): number {
    const ratio = mean / deviation;
    // The logistic function is within 0.01 of the distribution function of the normal distribution.
    return mean / (1 + Math.exp(-1.702 * ratio)) + deviation * Math.exp(-ratio * ratio / 2) / Math.sqrt(2 * Math.PI);
}

/** Creates the load estimate of a target without reports. */
export function createTargetLoad(): TargetLoad {
    let reported = 0;
    let reportedSlots = 1;
    let reportedAt = -Infinity;
    let inFlight = 0;
    let inFlightAtReport = 0;
    /** Expected work in milliseconds of the requests that this instance has sent since the report. */
    let sentWorkMs = 0;
    let sentCount = 0;

    function estimatedRequests(slotCount: number, now: number, peerUtilisation: number): number {
        const freshness = Math.exp(-(now - reportedAt) / reportLifetimeMs);
        return peerUtilisation * slotCount + (reported - peerUtilisation * slotCount) * freshness;
    }

    return {
        report(load, now) {
            reported = load.running + load.waiting;
            reportedSlots = Math.max(1, load.slots);
            reportedAt = now;
            inFlightAtReport = inFlight;
            sentWorkMs = 0;
            sentCount = 0;
        },
        begin(workMs) {
            inFlight += 1;
            if (workMs !== undefined) {
                sentWorkMs += workMs;
                sentCount += 1;
            }
        },
        end() {
            // The request may have begun before the target restarted, which resets its load.
            inFlight = Math.max(0, inFlight - 1);
            inFlightAtReport = Math.min(inFlightAtReport, inFlight);
        },
        get inFlight() {
            return inFlight;
        },
        reportedUtilisation: now => reported / reportedSlots * Math.exp(-(now - reportedAt) / averagedReportLifetimeMs),
        utilisation(slots, now, peerUtilisation) {
            const slotCount = Math.max(1, slots);
            const estimate = estimatedRequests(slotCount, now, peerUtilisation);
            const sentSince = inFlight - inFlightAtReport;
            return Math.max(inFlight, estimate + sentSince) / slotCount;
        },
        waitMs({ slots, peerUtilisation, meanWorkMs }, now) {
            const slotCount = Math.max(1, slots);
            const estimate = estimatedRequests(slotCount, now, peerUtilisation);
            const sentSince = inFlight - inFlightAtReport;
            // Requests that ended are taken to have had the mean work of those sent since the report.
            const sentMs = sentCount === 0 ? 0 : sentWorkMs / sentCount * Math.min(sentCount, sentSince);
            const freshness = Math.exp(-(now - reportedAt) / reportLifetimeMs);
            const deviation = freshDeviation + (staleDeviation - freshDeviation) * (1 - freshness);
            // The slots that are in use and the request itself leave one slot less to the backlog.
            const backlogMs = (estimate - (slotCount - 1)) * meanWorkMs + sentMs;
            return meanPositivePart(backlogMs, deviation * Math.sqrt(slotCount) * meanWorkMs) / slotCount;
        },
    };
}
