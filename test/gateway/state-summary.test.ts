import type { LogFields } from "@trefoilladder/telemetry";
import { createStateSummary } from "../../packages/gateway/src/state-summary";
import type { TargetCandidate } from "../../packages/gateway/src/target-tracker";
import { silentLog } from "../replication/silent-log";
import { targetRecord } from "./fixtures";

function candidate(index: number, fields: Partial<TargetCandidate>): TargetCandidate {
    return {
        target: { ...targetRecord(index, index + 1), coldUntil: 0 },
        unhealthyProbability: 0.01,
        pathFailureProbability: 0.07,
        utilisation: 0.5,
        msSinceOutcome: 0,
        isCold: false,
        isSameDomain: true,
        ...fields,
    };
}

// Guards against a service whose state cannot be told from the logs: whether few targets carry its load, and why.
test("the state summary tells how the estimates of a service are distributed, and the calls to the store", () => {
    const lines: [event: string, fields: LogFields][] = [];
    const candidates = Array.from(
        { length: 10 },
        (_, index) => candidate(index, index < 7 ? { unhealthyProbability: 0.9 } : { utilisation: 3 }),
    );
    const write = createStateSummary({
        log: {
            ...silentLog(),
            stateChange: (event, fields) => void lines.push([event, fields]),
            counters: () => new Map([["store_call_targets_retry", 3], ["request_answered", 5]]),
        },
        targetTracker: { candidates: service => service === "dossier" ? candidates : [] },
        services: () => ["dossier", "archive"],
    });
    write();
    expect(lines).toEqual([
        [
            "service_estimates",
            expect.objectContaining({
                service: "dossier",
                targets: 10,
                suspected: 7,
                full: 3,
                unhealthyProbability_p50: 0.9,
                utilisation_p90: 3,
            }),
        ],
        ["store_calls", { targets_retry: 3 }],
    ]);
});
