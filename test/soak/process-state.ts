import { readdirSync, readFileSync } from "node:fs";

/** Position of the state of a thread after its name in the file `stat`. */
const statePattern = /\) (\S)/;

/**
 * Returns the name, the state, the kernel function it waits in, and the times run and waited for a processor in milliseconds of
 * each thread of a process; this tells whether the process waits for an event, for another thread or for a processor.
 */
export function describeThreads(pid: number): string {
    try {
        return readdirSync(`/proc/${pid}/task`).map(thread => describeThread(`/proc/${pid}/task/${thread}`)).join("; ");
    }
    catch (error) {
        return `not readable: ${(error as Error).message}`;
    }
}

/** Returns the largest resident memory that a process has had, in megabytes. */
export function peakMemoryMb(pid: number): number {
    return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))![1]) / 1_024;
}

function describeThread(directory: string): string {
    const read = (name: string) => readFileSync(`${directory}/${name}`, "utf8").trim();
    const state = statePattern.exec(read("stat"))?.[1];
    const [runMs, waitMs] = read("schedstat").split(" ").map(nanoseconds => Math.round(Number(nanoseconds) / 1e6));
    return `${read("comm")} ${state} ${read("wchan")} ran ${runMs} ms, waited ${waitMs} ms`;
}
