import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { PlatformFailure } from "./platform-failure";

/** One JSON call to a platform service. */
export interface JsonCall {
    dispatcher: Dispatcher;
    origin: string;
    path: string;
    method: "GET" | "POST";
    body?: unknown;
    /** Time in milliseconds for which the call may be idle; a response that keeps arriving may take longer. */
    timeoutMs: number;
    signal?: AbortSignal;
}

/** Status and decoded body of a response. */
export interface JsonResponse {
    status: number;
    body: unknown;
}

/** Time in milliseconds for a whole response beyond the idle timeout; ends calls whose response arrives too slowly. */
const responseTimeoutMs = 30_000;

async function readText(body: Readable, idleTimer: NodeJS.Timeout): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
        idleTimer.refresh();
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** Calls a platform service; fails with `platform_unreachable` or `platform_bad_answer`. */
export async function callJson(call: JsonCall): Promise<Result<JsonResponse, PlatformFailure>> {
    const idleAbort = new AbortController();
    const idleTimer = setTimeout(() => idleAbort.abort(), call.timeoutMs);
    const timeouts = [idleAbort.signal, AbortSignal.timeout(call.timeoutMs + responseTimeoutMs)];
    const signal = AbortSignal.any(call.signal === undefined ? timeouts : [call.signal, ...timeouts]);
    try {
        const response = await call.dispatcher.request({
            origin: call.origin,
            path: call.path,
            method: call.method,
            headers: call.body === undefined ? {} : { "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            signal,
        });
        const text = await readText(response.body, idleTimer);
        return ok({ status: response.statusCode, body: text === "" ? undefined : JSON.parse(text) as unknown });
    }
    catch (error) {
        const cause = error instanceof Error ? error : new Failure("unknown_cause", String(error));
        const code = cause instanceof SyntaxError ? "platform_bad_answer" : "platform_unreachable";
        return err(new PlatformFailure(code, `call to ${call.path} failed`, { cause, info: { path: call.path } }));
    }
    finally {
        clearTimeout(idleTimer);
    }
}
