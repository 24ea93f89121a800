import { createRandom } from "@trefoilladder/stand-ins";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { setImmediate as nextTurn, setTimeout as delay } from "node:timers/promises";
import { Pool } from "undici";
import { startListening } from "./child-process";
import { callJson, startFleet, waitUntil } from "./fleet";

/** Options of the benchmark. */
export interface BenchOptions {
    rounds: number;
    /** Duration of each measurement in seconds. */
    seconds: number;
    /** Open-loop request rate of the latency measurements. */
    ratePerSecond: number;
    /** Concurrent requests in the throughput measurements. */
    concurrency: number;
    seed: number;
}

interface Variant {
    name: "direct" | "passThrough" | "entry";
    pool: Pool;
    path: string;
    headers: Record<string, string>;
}

const quantiles = { p50: 50, p99: 99, p999: 99.9 } as const;
type Quantiles = Record<keyof typeof quantiles, number>;

/** Timers fire up to a few milliseconds late, so the last part of a wait polls the clock on every event loop turn. */
const spinMs = 3;
const warmUpSeconds = 2;

async function sleepUntil(at: number): Promise<void> {
    const remainingMs = at - performance.now();
    if (remainingMs > spinMs) {
        await delay(remainingMs - spinMs);
    }
    while (performance.now() < at) {
        await nextTurn();
    }
}

function createHistogram(): Histogram {
    // Values are in microseconds.
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
}

async function sendOne(variant: Variant): Promise<boolean> {
    try {
        const { statusCode, body } = await variant.pool.request({
            path: variant.path,
            method: "GET",
            headers: variant.headers,
        });
        await body.dump();
        return statusCode === 200;
    }
    catch {
        return false;
    }
}

/** Sends at a fixed rate with Poisson arrivals; latency is measured from the intended send time. */
async function measureLatency(
    variant: Variant,
    options: BenchOptions,
    seed: number,
    histogram: Histogram,
): Promise<number> {
    const random = createRandom(seed);
    const pending: Promise<void>[] = [];
    let failures = 0;
    const end = performance.now() + options.seconds * 1_000;
    for (let at = performance.now(); at < end; at += random.exponential(1_000 / options.ratePerSecond)) {
        await sleepUntil(at);
        const intendedAt = at;
        pending.push(
            sendOne(variant).then(succeeded => {
                histogram.recordValue(Math.max(1, Math.round((performance.now() - intendedAt) * 1_000)));
                failures += succeeded ? 0 : 1;
            }),
        );
    }
    await Promise.all(pending);
    return failures;
}

async function measureThroughput(
    variant: Variant,
    options: BenchOptions,
): Promise<{ perSecond: number; failures: number; }> {
    const startedAt = performance.now();
    const end = startedAt + options.seconds * 1_000;
    let completed = 0;
    let failures = 0;
    await Promise.all(Array.from({ length: options.concurrency }, async () => {
        while (performance.now() < end) {
            if (await sendOne(variant)) {
                completed += 1;
            }
            else {
                failures += 1;
            }
        }
    }));
    return { perSecond: completed / (performance.now() - startedAt) * 1_000, failures };
}

function median(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function quantilesOf(histogram: Histogram): Quantiles {
    const entries = Object.entries(quantiles).map(([name, percentile]) => {
        return [name, histogram.getValueAtPercentile(percentile) / 1_000];
    });
    return Object.fromEntries(entries) as Quantiles;
}

/** Median over the rounds of the difference within a round, which is least affected by other load on the machine. */
function medianDifference(minuends: readonly Quantiles[], subtrahends: readonly Quantiles[]): Quantiles {
    const entries = (Object.keys(quantiles) as (keyof Quantiles)[]).map(name => {
        return [name, median(minuends.map((value, round) => value[name] - subtrahends[round]![name]))];
    });
    return Object.fromEntries(entries) as Quantiles;
}

/**
 * Compares one entry instance with the bare pass-through proxy and with direct calls to the target. This process generates
 * the load; the target and the proxies run in separate processes. The variants alternate in every round, so that other load
 * on the machine affects all of them.
 */
export async function runBench(options: BenchOptions): Promise<object> {
    const limits = [{ organisation: "bench", ratePerSecond: 1e6, burst: 1e6 }];
    const fleetOptions = { instances: 1, targets: 1, seed: options.seed, limits, hasRelays: false, serviceMs: 0 };
    const fleet = await startFleet({ ...fleetOptions, slots: 10_000 });
    const targetUrl = fleet.targets[0]!.url;
    const passThrough = await startListening("pass-through", "trefoilladder-experiment", [
        ...["pass-through", "--port", "0", "--target", targetUrl],
    ]).catch(async error => {
        await fleet.close();
        throw error;
    });
    const headers = { authorization: `Bearer ${fleet.keys.get("bench")!.text}` };
    const connections = options.concurrency;
    const urls = { direct: targetUrl, passThrough: passThrough.url, entry: fleet.entries[0]!.url };
    const variants = Object.entries(urls).map(([name, url]): Variant => ({
        name: name as Variant["name"],
        pool: new Pool(url, { connections, pipelining: 1 }),
        path: "/bench/lookups/1?token=t",
        headers,
    }));
    const results = new Map(variants.map(variant => [variant.name, {
        histogram: createHistogram(),
        rounds: [] as Quantiles[],
        throughputs: [] as number[],
        failures: 0,
    }]));
    try {
        for (const variant of variants) {
            await waitUntil(`${variant.name} serves`, () => sendOne(variant));
            await measureThroughput(variant, { ...options, seconds: warmUpSeconds });
        }
        for (let round = 0; round < options.rounds; round += 1) {
            // The order rotates, so that no variant always runs after the same one.
            const order = variants.map((_, index) => variants[(index + round) % variants.length]!);
            for (const variant of order) {
                const result = results.get(variant.name)!;
                const histogram = createHistogram();
                result.failures += await measureLatency(variant, options, options.seed + round, histogram);
                result.rounds.push(quantilesOf(histogram));
                result.histogram.add(histogram);
            }
            for (const variant of order) {
                // Clears the target's execution records, which would slow the later measurements.
                await callJson("DELETE", `${targetUrl}/control/executions`);
                const result = results.get(variant.name)!;
                const { perSecond, failures } = await measureThroughput(variant, options);
                result.throughputs.push(perSecond);
                result.failures += failures;
            }
        }
    }
    finally {
        await Promise.all(variants.map(({ pool }) => pool.destroy()));
        await passThrough.stop();
        await fleet.close();
    }
    const [direct, bare, entry] = (["direct", "passThrough", "entry"] as const).map(name => {
        const { histogram, rounds, throughputs, failures } = results.get(name)!;
        return { latencyMs: quantilesOf(histogram), rounds, perSecond: median(throughputs), throughputs, failures };
    });
    const ratios = entry!.throughputs.map((perSecond, round) => perSecond / bare!.throughputs[round]!);
    return {
        parameters: options,
        direct,
        passThrough: bare,
        entry,
        addedOverDirectMs: medianDifference(entry!.rounds, direct!.rounds),
        addedOverPassThroughMs: medianDifference(entry!.rounds, bare!.rounds),
        throughputRatio: median(ratios),
        throughputRatios: ratios,
    };
}
