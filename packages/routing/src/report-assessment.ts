import { median } from "@trefoilladder/placement";
import type { TargetEvidence } from "@trefoilladder/protocol";
import type { FloorTarget } from "./ejection-floor";
import { computePeerRates, detectOutlier, slowThreshold } from "./outlier-detection";
import type { EvidenceTotals, Finding } from "./outlier-detection";

/** Evidence report received from an instance, with one row per target. */
export interface ReceivedReport {
    incarnation: string;
    domain: string;
    /** Monotonic time of the receipt in milliseconds. */
    receivedAt: number;
    rows: readonly TargetEvidence[];
}

interface ReceivedRow extends TargetEvidence {
    receivedAt: number;
    /** Whether the row belongs to the latest report of its instance. */
    latest: boolean;
}

/** Assessment of a target from the reports of a group of instances. */
export interface ReportAssessment {
    totals: EvidenceTotals;
    finding: Finding | undefined;
}

/**
 * Minimum time between the first and the last bad or slow row in milliseconds; a shorter one may be a single pause of
 * the target. Reports cover up to 500 ms each, but a pause slows only some of the requests in such an interval.
 */
const minSpanMs = 500;

function weightedMedian(values: readonly { value: number; weight: number; }[]): number | undefined {
    const sorted = [...values].sort((a, b) => a.value - b.value);
    const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2;
    let cumulativeWeight = 0;
    return sorted.find(({ weight }) => (cumulativeWeight += weight) >= half)?.value;
}

function rowsByTarget(
    reports: readonly ReceivedReport[],
    countedAfter: ReadonlyMap<string, number>,
): Map<string, ReceivedRow[]> {
    const lastReceivedAt = new Map<string, number>();
    reports.forEach(({ incarnation, receivedAt }) =>
        lastReceivedAt.set(incarnation, Math.max(receivedAt, lastReceivedAt.get(incarnation) ?? receivedAt))
    );
    const rows = new Map<string, ReceivedRow[]>();
    for (const { incarnation, receivedAt, rows: reportRows } of reports) {
        for (const row of reportRows) {
            if (receivedAt > (countedAfter.get(row.target) ?? -Infinity)) {
                const targetRows = rows.get(row.target) ?? [];
                targetRows.push({ ...row, receivedAt, latest: lastReceivedAt.get(incarnation) === receivedAt });
                rows.set(row.target, targetRows);
            }
        }
    }
    return rows;
}

function hasBadAttempts(row: ReceivedRow): boolean {
    return row.failures + row.stalls + row.connectFailures + row.overdue > 0;
}

function timeSpan(rows: readonly ReceivedRow[]): number {
    const times = rows.map(({ receivedAt }) => receivedAt);
    return times.length === 0 ? 0 : Math.max(...times) - Math.min(...times);
}

function sum(rows: readonly ReceivedRow[], value: (row: ReceivedRow) => number): number {
    return rows.reduce((total, row) => total + value(row), 0);
}

function totalsOf(rows: readonly ReceivedRow[], slowThresholdMs: number): EvidenceTotals {
    const timed = rows.filter(({ latencyP50Us }) => latencyP50Us > 0);
    const slow = timed.filter(({ latencyP50Us }) => latencyP50Us / 1_000 > slowThresholdMs);
    return {
        requests: sum(rows, row => row.requests),
        failures: sum(rows, row => row.failures),
        stalls: sum(rows, row => row.stalls),
        connectFailures: sum(rows, row => row.connectFailures),
        resets: 0,
        truncations: 0,
        overdue: sum(rows, row => row.latest ? row.overdue : 0),
        badSpanMs: timeSpan(rows.filter(hasBadAttempts)),
        timed: sum(timed, row => row.requests),
        slow: sum(slow, row => row.requests),
        slowSpanMs: timeSpan(slow),
        probeFailed: rows.some(row => row.latest && row.probeFailures > 0),
    };
}

/**
 * Assesses the targets of a service from the reports of a group of instances. Compares each target with the medians
 * over its peers in the same reports. Rows received up to the target's `countedAfter` time do not count.
 */
function assessWindow(
    reports: readonly ReceivedReport[],
    targets: readonly FloorTarget[],
    countedAfter: ReadonlyMap<string, number>,
): Map<string, ReportAssessment> {
    const rows = rowsByTarget(reports, countedAfter);
    const warm = targets.filter(({ id, cold }) => !cold && rows.has(id)).map(({ id }) => id);
    const medians = warm.flatMap(id => {
        const value = weightedMedian(
            rows.get(id)!.filter(row => row.latencyP50Us > 0)
                .map(row => ({ value: row.latencyP50Us / 1_000, weight: row.requests })),
        );
        return value === undefined ? [] : [{ id, value }];
    });
    const totals = new Map(targets.map(({ id }) => {
        const peerMedian = median(medians.filter(peer => peer.id !== id).map(({ value }) => value));
        const slowThresholdMs = peerMedian === undefined ? Infinity : slowThreshold(peerMedian);
        return [id, totalsOf(rows.get(id) ?? [], slowThresholdMs)];
    }));
    return new Map(targets.map(({ id, cold }) => {
        const peers = warm.filter(peer => peer !== id).map(peer => totals.get(peer)!);
        const rates = computePeerRates(peers);
        return [id, { totals: totals.get(id)!, finding: detectOutlier(totals.get(id)!, rates, { cold, minSpanMs }) }];
    }));
}

/** Assesses the targets over each window; the finding of the shortest window takes precedence. */
export function assessReports(
    reports: readonly ReceivedReport[],
    targets: readonly FloorTarget[],
    context: { countedAfter: ReadonlyMap<string, number>; now: number; windowsMs: readonly number[]; },
): Map<string, ReportAssessment> {
    const byWindow = context.windowsMs.map(windowMs =>
        assessWindow(
            reports.filter(({ receivedAt }) => context.now - receivedAt <= windowMs),
            targets,
            context.countedAfter,
        )
    );
    return new Map(
        [...byWindow.at(-1)!].map(([id, longest]) => {
            const found = byWindow.map(assessments => assessments.get(id)!).find(({ finding }) =>
                finding !== undefined
            );
            return [id, found ?? longest];
        }),
    );
}
