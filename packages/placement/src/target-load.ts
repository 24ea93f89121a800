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
    begin(): void;
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
}

/** Time constant in milliseconds of the exponential decay of a report's weight. */
const reportLifetimeMs = 700;
/**
 * Time constant in milliseconds with which a report decays in the average of a service. It is longer than the requests that
 * would bring another report.
 */
const averagedReportLifetimeMs = 2_000;

/** Creates the load estimate of a target without reports. */
export function createTargetLoad(): TargetLoad {
    let reported = 0;
    let reportedSlots = 1;
    let reportedAt = -Infinity;
    let inFlight = 0;
    let inFlightAtReport = 0;
    return {
        report(load, now) {
            reported = load.running + load.waiting;
            reportedSlots = Math.max(1, load.slots);
            reportedAt = now;
            inFlightAtReport = inFlight;
        },
        begin() {
            inFlight += 1;
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
            const freshness = Math.exp(-(now - reportedAt) / reportLifetimeMs);
            const estimate = peerUtilisation * slotCount + (reported - peerUtilisation * slotCount) * freshness;
            const sentSince = inFlight - inFlightAtReport;
            return Math.max(inFlight, estimate + sentSince) / slotCount;
        },
    };
}
