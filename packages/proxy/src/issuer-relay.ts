import type { Clock } from "@trefoilladder/clock";
import type { IssuedKey } from "@trefoilladder/idempotency";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent } from "undici";
import { callerHeader, relayPath } from "./caller-interface";
import type { CallerRequest } from "./caller-request";
import type { Delivery } from "./delivery";
import type { Exchange } from "./exchange";
import { forwardOnce } from "./forwarding";
import type { LatencyEstimate } from "./latency-estimate";
import { unknownOutcome } from "./problem";
import type { Problem } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";
import type { RecentRequests } from "./recent-requests";
import { readRequestBody } from "./request-body";
import { sendResponse } from "./response-relay";

/** Sends requests to the instance that issued their idempotency key. */
export interface IssuerRelay {
    send(exchange: Exchange, request: CallerRequest, key: IssuedKey): Promise<Result<Delivery, Problem>>;
    close(): Promise<void>;
}

/** What the relay uses. */
export interface IssuerRelayParts {
    /** Returns the origin of the inner listener of a live incarnation. */
    resolveIssuer(incarnation: string): string | undefined;
    clock: Clock;
    options: ResolvedProxyOptions;
    latency: LatencyEstimate;
    recent: RecentRequests;
    /** Checked right before the request is sent. */
    recheck(request: CallerRequest): Result<void, Problem>;
}

const connectionsPerIssuer = 16;

/** Creates the relay. A request is relayed once and never tried again, because its response may have been lost. */
export function createIssuerRelay(parts: IssuerRelayParts): IssuerRelay {
    const agent = new Agent({ connections: connectionsPerIssuer, pipelining: 1 });
    const lost = unknownOutcome("outcome_unknown", "the instance that issued the idempotency key gave no response");

    return {
        async send(exchange, request, key) {
            const origin = parts.resolveIssuer(key.incarnation);
            if (origin === undefined) {
                return err(unknownOutcome("outcome_unknown", "the instance that issued the idempotency key is gone"));
            }
            const body = request.hasBody
                ? await readRequestBody(exchange.incoming, request, parts.options)
                : ok({});
            if (body.isErr()) {
                // An earlier submission under this key may have run.
                return err({ ...body.error, outcome: lost.outcome });
            }
            const result = await forwardOnce({
                target: { id: key.incarnation, service: relayPath, origin, domain: "" },
                dispatcher: agent,
                release: () => undefined,
            }, {
                exchange,
                request,
                body: body.value,
                clock: parts.clock,
                options: parts.options,
                latency: parts.latency,
                recent: parts.recent,
                recheck: () => parts.recheck(request),
                mayRetry: () => false,
                reserveNext: async () => false,
                copyBytes: 0,
                outlivesCaller: true,
                path: relayPath + request.url,
                headers: request.authorization === undefined ? [] : [callerHeader.authorization, request.authorization],
                trusted: true,
            });
            if (result.kind === "held" || result.kind === "refused") {
                sendResponse(exchange, result.response);
            }
            return result.kind === "failed" ? err(lost) : ok({ complete: result.kind !== "interrupted" });
        },
        close: () => agent.destroy(),
    };
}
