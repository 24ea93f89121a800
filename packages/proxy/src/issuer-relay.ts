import type { Clock } from "@trefoilladder/clock";
import type { IssuedKey } from "@trefoilladder/idempotency";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent } from "undici";
import { callerHeader, relayPath } from "./caller-interface";
import type { CallerRequest } from "./caller-request";
import type { Exchange } from "./exchange";
import { forwardOnce } from "./forwarding";
import type { LatencyEstimate } from "./latency-estimate";
import { unknownOutcome } from "./problem";
import type { Problem } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";
import type { RecentRequests } from "./recent-requests";
import { readRequestBody } from "./request-body";
import { sendResponse } from "./response-relay";
import type { SentResponse } from "./sent-response";

/** Forwards requests to the instance that issued their idempotency key. */
export interface IssuerRelay {
    send(exchange: Exchange, request: CallerRequest, key: IssuedKey): Promise<Result<SentResponse, Problem>>;
    close(): Promise<void>;
}

/** Dependencies of the relay. */
export interface IssuerRelayParts {
    /** Returns the origin of the inner listener of a live incarnation. */
    resolveIssuer(incarnation: string): string | undefined;
    clock: Clock;
    options: ResolvedProxyOptions;
    latency: LatencyEstimate;
    recentRequests: RecentRequests;
    /** Called immediately before the request is sent; an error cancels it. */
    checkBeforeSend(request: CallerRequest): Result<void, Problem>;
}

const connectionsPerIssuer = 16;

/** Creates the relay. It never retries a request, because the request may have run and only its response been lost. */
export function createIssuerRelay(parts: IssuerRelayParts): IssuerRelay {
    const agent = new Agent({ connections: connectionsPerIssuer, pipelining: 1 });
    const noResponse = unknownOutcome(
        "outcome_unknown",
        "the instance that issued the idempotency key gave no response",
    );

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
                // An earlier request with this key may have run.
                return err({ ...body.error, outcome: noResponse.outcome });
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
                recentRequests: parts.recentRequests,
                checkBeforeSend: () => parts.checkBeforeSend(request),
                mayRetry: () => false,
                reserveNextAttempt: async () => false,
                maxCopyBytes: 0,
                continuesAfterDisconnect: true,
                path: relayPath + request.url,
                headers: request.authorization === undefined ? [] : [callerHeader.authorization, request.authorization],
                isTrustedPeer: true,
            });
            if (result.kind === "buffered" || result.kind === "refused") {
                sendResponse(exchange, result.response);
            }
            return result.kind === "failed" ? err(noResponse) : ok({ complete: result.kind !== "interrupted" });
        },
        close: () => agent.destroy(),
    };
}
