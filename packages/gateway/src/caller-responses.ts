/**
 * Common parts of all responses to callers: refusal, close of the connection, and memory accounting.
 */

import type { ConfigurationIndex } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { BodySource } from "./body-source";
import type { CallerConnections } from "./caller-connections";
import { firstCallerLimits } from "./caller-server";
import type { HeaderNames } from "./header-names";
import type { MemoryBudget, MemoryUse } from "./memory-budget";
import type { Metrics } from "./metrics";
import type { Refusal } from "./refusal";
import { sendRefusal } from "./refusal-response";
import type { StopTimes } from "./stop";
import { boundUnreadBody } from "./unread-body";

/** Dependencies of the responses. */
export interface CallerResponseParts {
    connections: Pick<CallerConnections, "hasLaterRequest" | "acceptNoneAfter" | "isLastAccepted" | "memoryOf">;
    budget: Pick<MemoryBudget, "acceptsBodies">;
    /** Returns the configuration in force; undefined before the first one. */
    configuration(): ConfigurationIndex | undefined;
    /** Returns the body of a request that is being received; undefined without one. */
    sourceOf(incoming: IncomingMessage): BodySource | undefined;
    /** Returns the times of a planned stop once it has begun; the last response on a connection closes it from then on. */
    stopTimes(): StopTimes | undefined;
    headerNames: HeaderNames;
    log: DecisionLog;
    metrics: Metrics;
    now(): number;
}

/** Responses to callers. */
export interface CallerResponses {
    /** Returns whether the response to a request closes its connection; no further request on it is accepted then. */
    closesConnection(incoming: IncomingMessage, mustClose?: boolean): boolean;
    /** Logs, counts and sends the refusal of the request with this id. */
    refuse(incoming: IncomingMessage, outgoing: ServerResponse, id: string, refused: Refusal): void;
    /** Reads the rest of a body that is of no use any more up to a bound, so that the connection can be kept. */
    discardBody(incoming: IncomingMessage, id: string): void;
    /** Charges bytes to the connection of a request until its response has been sent. */
    charge(incoming: IncomingMessage, outgoing: ServerResponse, use: MemoryUse, bytes: number): void;
}

/** Creates the responses. */
export function createCallerResponses(parts: CallerResponseParts): CallerResponses {
    const { headerNames, log, now } = parts;

    function closesConnection(incoming: IncomingMessage, mustClose = false): boolean {
        // The responses to requests behind this one have to be sent before.
        const isLastOfStop = parts.stopTimes() !== undefined && !parts.connections.hasLaterRequest(incoming);
        const closes = mustClose || isLastOfStop || parts.connections.isLastAccepted(incoming);
        if (closes) {
            parts.connections.acceptNoneAfter(incoming);
        }
        return closes;
    }

    function refuse(incoming: IncomingMessage, outgoing: ServerResponse, id: string, refused: Refusal): void {
        log.request(id, "refused", { code: refused.code, status: refused.status, ...refused.inputs });
        parts.metrics.countRefusal(refused.code, refused.priority);
        const unread = !incoming.complete;
        // A body that is too large, or for which memory is short, is not read any further.
        const mustClose = refused.status === 413 || unread && !parts.budget.acceptsBodies();
        sendRefusal(outgoing, refused, { headerNames, id, close: closesConnection(incoming, mustClose) });
        if (unread) {
            incoming.resume();
            discardBody(incoming, id);
        }
    }

    function discardBody(incoming: IncomingMessage, id: string): void {
        parts.sourceOf(incoming)?.discard();
        const { maxBodyBytes, idleTimeoutMs } = parts.configuration()?.configuration.limits ?? firstCallerLimits;
        boundUnreadBody(incoming, {
            maxBytes: maxBodyBytes,
            maxMs: idleTimeoutMs,
            now,
            exceeded: bytes => log.request(id, "unread_body_closed", { bytes }),
        });
    }

    function charge(incoming: IncomingMessage, outgoing: ServerResponse, use: MemoryUse, bytes: number): void {
        const memory = parts.connections.memoryOf(incoming);
        memory.add(use, bytes);
        outgoing.on("close", () => memory.add(use, -bytes));
    }

    return { closesConnection, refuse, discardBody, charge };
}
