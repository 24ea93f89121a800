import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Dispatcher } from "undici";
import { PlatformFailure } from "./platform-failure";

/** One JSON call to a platform service. */
export interface JsonCall {
    dispatcher: Dispatcher;
    origin: string;
    path: string;
    method: "GET" | "POST";
    body?: unknown;
    /** Time limit of the whole call in milliseconds. */
    timeoutMs: number;
    signal?: AbortSignal;
}

/** Status and decoded body of an answer. */
export interface JsonAnswer {
    status: number;
    body: unknown;
}

/** Calls a platform service; fails with `platform_unreachable` or `platform_bad_answer`. */
export async function callJson(call: JsonCall): Promise<Result<JsonAnswer, PlatformFailure>> {
    const timeout = AbortSignal.timeout(call.timeoutMs);
    const signal = call.signal === undefined ? timeout : AbortSignal.any([call.signal, timeout]);
    try {
        const answer = await call.dispatcher.request({
            origin: call.origin,
            path: call.path,
            method: call.method,
            headers: call.body === undefined ? {} : { "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            signal,
        });
        const text = await answer.body.text();
        return ok({ status: answer.statusCode, body: text === "" ? undefined : JSON.parse(text) as unknown });
    }
    catch (error) {
        const cause = error instanceof Error ? error : new Failure("unknown_cause", String(error));
        const code = cause instanceof SyntaxError ? "platform_bad_answer" : "platform_unreachable";
        return err(new PlatformFailure(code, `call to ${call.path} failed`, { cause, info: { path: call.path } }));
    }
}
