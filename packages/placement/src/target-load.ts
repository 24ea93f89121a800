/**
 * Load of a target: what it reported in its last answer and what this instance has sent since.
 *
 * Load pattern: 40 instances share targets of 6 slots and each sees few answers, so reports come from all instances and
 * are worth little after about a second. A target without a fresh report is taken to be as busy as its peers; taken for
 * idle, it would draw requests from all instances at once.
 */

/** Load that a target reports with an answer. */
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
    /** Returns the estimated requests at the target by its slots; above 1 requests wait there. `usual` is that of peers. */
    utilisation(slots: number, now: number, usual: number): number;
}

/** Time constant in milliseconds after which a report has lost most of its value. */
const reportLifetimeMs = 700;

/** Creates the load of a target without reports. */
export function createTargetLoad(): TargetLoad {
    let reported = 0;
    let reportedAt = -Infinity;
    let inFlight = 0;
    let inFlightAtReport = 0;
    return {
        report(load, now) {
            reported = load.running + load.waiting;
            reportedAt = now;
            inFlightAtReport = inFlight;
        },
        begin() {
            inFlight += 1;
        },
        end() {
            // A request may have begun before the target started again and its load was forgotten.
            inFlight = Math.max(0, inFlight - 1);
            inFlightAtReport = Math.min(inFlightAtReport, inFlight);
        },
        get inFlight() {
            return inFlight;
        },
        utilisation(slots, now, usual) {
            const known = Math.max(1, slots);
            const freshness = Math.exp(-(now - reportedAt) / reportLifetimeMs);
            const remaining = usual * known + (reported - usual * known) * freshness;
            const sentSince = inFlight - inFlightAtReport;
            return Math.max(inFlight, remaining + sentSince) / known;
        },
    };
}
