import type { Execution } from "@trefoilladder/stand-ins";
import fc from "fast-check";
import type { History, Submission } from "../../packages/experiment/src/history";
import { checkHistory, violationKind } from "../../packages/experiment/src/history-checker";
import { checkRateBound } from "../../packages/experiment/src/rate-bound";

function submissionAt(at: number, changes: Partial<Submission> = {}): Submission {
    const requestId = changes.requestId ?? `r-${at}`;
    return {
        requestId,
        callId: requestId,
        organisation: "laurel",
        keyId: "k-1",
        isEntitled: true,
        instance: "entry-0",
        method: "GET",
        path: "/laurel/lookups/1",
        isIdempotent: true,
        token: `t-${at}`,
        isWithinRate: true,
        intendedAt: at,
        sentAt: at,
        deadlineMs: 1_000,
        end: "response",
        endedAt: at + 20,
        status: 200,
        outcome: "ran",
        responseToken: `t-${at}`,
        responseRequestId: requestId,
        ...changes,
    };
}

function executionOf(submission: Submission, changes: Partial<Execution> = {}): Execution {
    const { requestId, idempotencyKey, token, method, path, sentAt } = submission;
    return {
        target: "dossier-0",
        requestId,
        idempotencyKey,
        token,
        method,
        path,
        sawKey: false,
        startedAt: sentAt + 2,
        ...changes,
    };
}

function historyOf(changes: Partial<History>): History {
    return {
        limits: [{ organisation: "laurel", ratePerSecond: 1, burst: 2 }],
        submissions: [],
        executions: [],
        revocations: [],
        departures: [],
        stops: [],
        ...changes,
    };
}

/** History of submissions that each ran once, 2 ms after they were sent. */
function historyOfSingleRuns(submissions: Submission[], changes: Partial<History> = {}): History {
    return historyOf({ submissions, executions: submissions.map(submission => executionOf(submission)), ...changes });
}

const order: Partial<Submission> = { isIdempotent: false, method: "POST", idempotencyKey: "i-1", token: "t" };

const invalidHistories: Record<string, [string, History]> = {
    "a target that received an API key": [
        violationKind.keySeenByTarget,
        historyOfSingleRuns([submissionAt(0)], { executions: [executionOf(submissionAt(0), { sawKey: true })] }),
    ],
    "a request that ran with the key of another organisation": [
        violationKind.foreignExecution,
        historyOfSingleRuns([submissionAt(0, { isEntitled: false })]),
    ],
    "an execution on another path than the caller's": [
        violationKind.foreignExecution,
        historyOfSingleRuns([submissionAt(0)], {
            executions: [executionOf(submissionAt(0), { path: "/other/lookups/1" })],
        }),
    ],
    "an execution that no caller requested": [
        violationKind.foreignExecution,
        historyOf({ executions: [executionOf(submissionAt(0))] }),
    ],
    "a revoked key that is still accepted after the limit": [
        violationKind.revokedKey,
        historyOfSingleRuns([submissionAt(6_000)], { revocations: [{ keyId: "k-1", at: 900 }] }),
    ],
    "one admission above rate and burst": [
        violationKind.rateExceeded,
        historyOfSingleRuns([submissionAt(0), submissionAt(1), submissionAt(2)]),
    ],
    "an excess that is visible only in a long window": [
        violationKind.rateExceeded,
        historyOfSingleRuns(
            [0, 900, 1_800, 2_700, 3_600, 4_500, 5_400, 6_300, 7_200, 8_100, 9_000].map(at => submissionAt(at)),
            {
                limits: [{ organisation: "laurel", ratePerSecond: 1, burst: 1 }],
            },
        ),
    ],
    "a response with the token of another request": [
        violationKind.wrongResponse,
        historyOfSingleRuns([submissionAt(0, { responseToken: "t-other" })]),
    ],
    "a truncated response relayed as complete": [
        violationKind.wrongResponse,
        historyOfSingleRuns([submissionAt(0, { responseToken: undefined, responseRequestId: undefined })]),
    ],
    "a request that ran but was reported as not run": [
        violationKind.falseNotRun,
        historyOfSingleRuns([submissionAt(0, { status: 503, outcome: "not-run", code: "no_target" })]),
    ],
    "a submission without an idempotency key that ran twice": [
        violationKind.ranTwice,
        historyOf({
            submissions: [submissionAt(0, { ...order, idempotencyKey: undefined, responseToken: "t" })],
            executions: ["dossier-0", "dossier-1"].map(target =>
                executionOf(submissionAt(0, { ...order, idempotencyKey: undefined }), { target })
            ),
        }),
    ],
    "an idempotency key that ran twice on two instances": [
        violationKind.ranTwice,
        historyOfSingleRuns([
            submissionAt(0, { ...order, responseToken: "t" }),
            submissionAt(9, { ...order, responseToken: "t" }),
        ]),
    ],
    "a request that started at a target long after its departure was announced": [
        violationKind.leavingTarget,
        historyOfSingleRuns([submissionAt(3_500)], { departures: [{ target: "dossier-0", at: 0 }] }),
    ],
    "a request interrupted by a planned stop": [
        violationKind.cutByStop,
        historyOfSingleRuns([submissionAt(100, { end: "reset", status: undefined, outcome: undefined })], {
            stops: [{ instance: "entry-0", at: 90, endedAt: 500 }],
        }),
    ],
    "a request reported as run that no target ran": [violationKind.lost, historyOf({ submissions: [submissionAt(0)] })],
    "a shed request reported as run": [
        violationKind.misreported,
        historyOf({ submissions: [submissionAt(0, { status: 503 })] }),
    ],
    "a response without an outcome": [
        violationKind.misreported,
        historyOfSingleRuns([submissionAt(0, { outcome: undefined })]),
    ],
};

describe("history checker", () => {
    it.each(Object.entries(invalidHistories))("reports exactly the violation of %s", (_name, [kind, history]) => {
        expect(new Set(checkHistory(history).map(violation => violation.kind))).toEqual(new Set([kind]));
    });

    it("reports nothing for a correct history, because false reports would hide real violations", () => {
        const submissions = [
            submissionAt(0),
            submissionAt(1_200),
            submissionAt(2_000, { ...order, end: "reset", status: undefined, outcome: undefined }),
            // The issuer returns the stored response of the first submission.
            submissionAt(2_400, { ...order, responseToken: "t", responseRequestId: "r-2000" }),
            submissionAt(2_500, { keyId: undefined, isEntitled: false, status: 401, outcome: "not-run" }),
        ];
        const history = historyOf({
            submissions,
            executions: submissions.slice(0, 3).map(submission => executionOf(submission)),
            revocations: [{ keyId: "k-1", at: 100 }],
            departures: [{ target: "dossier-0", at: 0 }],
        });
        expect(checkHistory(history)).toEqual([]);
    });

    it("does not report queueing between admission and execution as an excess", () => {
        const submissions = [0, 1_000, 2_000, 3_000].map(at => submissionAt(at));
        const executions = submissions.map(submission => executionOf(submission, { startedAt: 3_010 }));
        const limits = [{ organisation: "laurel", ratePerSecond: 1, burst: 1 }];
        expect(checkHistory(historyOf({ submissions, executions, limits }))).toEqual([]);
    });
});

describe("rate bound", () => {
    /** Reference implementation that checks every window between two admissions, in quadratic time. */
    function largestExcess(times: number[], rate: number, burst: number): number {
        let largest = 0;
        times.forEach((start, first) => {
            times.slice(first).forEach((end, more) => {
                largest = Math.max(largest, more + 1 - burst - rate * (end - start) / 1_000);
            });
        });
        return largest;
    }

    it("finds the same excess in one pass as a check of every window, so it misses no window", () => {
        const times = fc.array(fc.integer({ min: 0, max: 5_000 }), { maxLength: 40 });
        fc.assert(
            fc.property(times, fc.integer({ min: 1, max: 20 }), fc.integer({ min: 1, max: 5 }), (t, rate, burst) => {
                const sorted = [...t].sort((a, b) => a - b);
                expect(checkRateBound(sorted, rate, burst).excess).toBeCloseTo(largestExcess(sorted, rate, burst), 5);
            }),
        );
    });
});
