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
    /** Time in milliseconds for which the call may be silent; an answer of which parts arrive may take longer. */
    timeoutMs: number;
    signal?: AbortSignal;
}

/** Status and decoded body of an answer. */
export interface JsonAnswer {
    status: number;
    body: unknown;
}

/** Time in milliseconds that the parts of one answer may take together, so that a trickle ends as well. */
const answerTimeoutMs = 30_000;

async function readText(body: Readable, silence: NodeJS.Timeout): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
        silence.refresh();
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** Calls a platform service; fails with `platform_unreachable` or `platform_bad_answer`. */
export async function callJson(call: JsonCall): Promise<Result<JsonAnswer, PlatformFailure>> {
    const silent = new AbortController();
    const silence = setTimeout(() => silent.abort(), call.timeoutMs);
    const limits = [silent.signal, AbortSignal.timeout(call.timeoutMs + answerTimeoutMs)];
    const signal = AbortSignal.any(call.signal === undefined ? limits : [call.signal, ...limits]);
    try {
        const answer = await call.dispatcher.request({
            origin: call.origin,
            path: call.path,
            method: call.method,
            headers: call.body === undefined ? {} : { "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            signal,
        });
        const text = await readText(answer.body, silence);
        return ok({ status: answer.statusCode, body: text === "" ? undefined : JSON.parse(text) as unknown });
    }
    catch (error) {
        const cause = error instanceof Error ? error : new Failure("unknown_cause", String(error));
        const code = cause instanceof SyntaxError ? "platform_bad_answer" : "platform_unreachable";
        return err(new PlatformFailure(code, `call to ${call.path} failed`, { cause, info: { path: call.path } }));
    }
    finally {
        clearTimeout(silence);
    }
}
