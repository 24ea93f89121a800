import type { Dispatcher } from "undici";

/** Result of a health probe. */
export interface ProbeResult {
    healthy: boolean;
    draining: boolean;
}

/** Requests a target's health endpoint. A timeout, a failed request or a status other than 200 means unhealthy. */
export async function probeHealth(dispatcher: Dispatcher, timeoutMs: number): Promise<ProbeResult> {
    try {
        const response = await dispatcher.request({
            path: "/health",
            method: "GET",
            signal: AbortSignal.timeout(timeoutMs),
        });
        await response.body.dump();
        return {
            healthy: response.statusCode === 200,
            draining: response.headers["x-target-state"] === "draining",
        };
    }
    catch {
        return { healthy: false, draining: false };
    }
}
