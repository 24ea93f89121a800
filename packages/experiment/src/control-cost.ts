import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { startFleet, waitUntil } from "./fleet";
import type { EntryProcess } from "./fleet";

/** Sizes and duration of the measurement. */
export interface ControlCostOptions {
    sizes: number[];
    seconds: number;
    seed: number;
}

/** Mean control-plane cost of one instance at a fleet size. */
export interface ControlCostPoint {
    instances: number;
    /** Bytes per second on the inner listener and, by symmetry, on the calls to other instances. */
    innerBytesPerSecond: number;
    /** CPU time in percent of one core. */
    cpuPercent: number;
    residentMegabytes: number;
}

/** Least-squares line through the points. */
export interface Line {
    slopePerInstance: number;
    intercept: number;
}

const settleMs = 5_000;
/** Unit of the CPU times in /proc, fixed on Linux. */
const clockTicksPerSecond = 100;
const userTimeField = 11;

async function readTraffic(entry: EntryProcess): Promise<number> {
    const { body } = await request(`http://127.0.0.1:${entry.innerPort}/status`);
    return (await body.json() as { innerTrafficBytes: number; }).innerTrafficBytes;
}

function readCpuTicks(pid: number): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // Splits only after the process name, which may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return Number(fields[userTimeField]) + Number(fields[userTimeField + 1]);
}

function readResidentBytes(pid: number): number {
    const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(line?.[1] ?? 0) * 1024;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measure(instances: number, options: ControlCostOptions): Promise<ControlCostPoint> {
    const fleet = await startFleet({
        instances,
        targets: 1,
        seed: options.seed,
        limits: [{ organisation: "small-0", ratePerSecond: 1, burst: 2 }],
        hasRelays: false,
        serviceMs: 20,
    });
    try {
        const isReady = async (entry: EntryProcess) =>
            (await request(`http://127.0.0.1:${entry.innerPort}/ready`)).statusCode === 200;
        await waitUntil(
            "every instance is ready",
            async () => (await Promise.all(fleet.entries.map(isReady))).every(Boolean),
        );
        await delay(settleMs);
        const pids = fleet.entries.map(({ process }) => process.pid!);
        const [trafficBefore, ticksBefore] = [
            await Promise.all(fleet.entries.map(readTraffic)),
            pids.map(readCpuTicks),
        ];
        await delay(options.seconds * 1000);
        const [trafficAfter, ticksAfter] = [await Promise.all(fleet.entries.map(readTraffic)), pids.map(readCpuTicks)];
        const servedBytesPerSecond = mean(trafficAfter.map((bytes, index) => bytes - trafficBefore[index]!))
            / options.seconds;
        const ticks = mean(ticksAfter.map((value, index) => value - ticksBefore[index]!));
        return {
            instances,
            innerBytesPerSecond: Math.round(2 * servedBytesPerSecond),
            cpuPercent: 100 * ticks / clockTicksPerSecond / options.seconds,
            residentMegabytes: mean(pids.map(readResidentBytes)) / 2 ** 20,
        };
    }
    finally {
        await fleet.close();
    }
}

/** Fits a least-squares line of a value over the number of instances. */
export function fitLine(points: readonly { instances: number; value: number; }[]): Line {
    const x = mean(points.map(({ instances }) => instances));
    const y = mean(points.map(({ value }) => value));
    const covariance = mean(points.map(({ instances, value }) => (instances - x) * (value - y)));
    const variance = mean(points.map(({ instances }) => (instances - x) ** 2));
    const slopePerInstance = variance === 0 ? 0 : covariance / variance;
    return { slopePerInstance, intercept: y - slopePerInstance * x };
}

/** Measures idle fleets of several sizes and fits a line to each kind of cost. */
export async function measureControlCost(options: ControlCostOptions) {
    const points: ControlCostPoint[] = [];
    for (const instances of options.sizes) {
        points.push(await measure(instances, options));
    }
    const lineOf = (value: (point: ControlCostPoint) => number) =>
        fitLine(points.map(point => ({ instances: point.instances, value: value(point) })));
    return {
        parameters: options,
        points,
        lines: {
            innerBytesPerSecond: lineOf(point => point.innerBytesPerSecond),
            cpuPercent: lineOf(point => point.cpuPercent),
            residentMegabytes: lineOf(point => point.residentMegabytes),
        },
    };
}
