/**
 * Asks the owner of a limit for tokens.
 *
 * Load pattern: an organisation sends many times its rate through all instances at once. Copies of the bucket that follow
 * each other's totals would all admit the same tokens in the time that the totals take; the owner sees each request.
 * When no owner responds, an instance admits its equal part of the limit.
 */

import type { LimitGroup } from "./limit-group";
import type { TokenDecision, TokenRequest, TokenResponse } from "./token-decision";
import { reservationMs } from "./token-owner";
import type { TokenOwner } from "./token-owner";

/** Receives a decision and the address of the instance that made it. */
export type DecisionListener = (decision: TokenDecision, decidedBy: string) => void;

/** Decides on requests of this instance, by itself for the limits that it owns. */
export interface TokenClient {
    /** Calls `decided` with the decision, at the latest after `maxWaitMs`. A granted token is there by then. */
    take(name: string, maxWaitMs: number, decided: DecisionListener): void;
    receive(from: string, response: TokenResponse): void;
}

/** Options of a client. */
export interface TokenClientOptions {
    /** Returns the address of this instance. */
    self(): string;
    /** Identifies this start of the instance in requests. */
    incarnation: string;
    group: LimitGroup;
    owner: TokenOwner;
    now(): number;
    /** Calls a function after some milliseconds. */
    schedule(callback: () => void, ms: number): void;
    /** Returns the addresses of the instances that may own a limit, the owner first. */
    owners(name: string): readonly string[];
    /** Returns the number of known instances, this one included. */
    fleetSize(): number;
    send(address: string, request: TokenRequest): void;
    /** Counts an event by name. */
    count(event: string): void;
}

/** Interval of the checks of requests without a response, in milliseconds. */
const checkIntervalMs = 20;
/** Shortest and longest time in milliseconds after which an instance that has just started is asked again. */
const minResumeMs = 40;
const maxResumeMs = 160;
/** Time in milliseconds after which a request is repeated, since datagrams may be lost. */
const repeatAfterMs = 40;
/** Time in milliseconds after which the next instance is asked. */
const giveUpAfterMs = 100;
/** Number of instances that are asked. */
const maxAsked = 2;
/** Time in milliseconds for which an instance that did not respond is not asked. */
const unresponsiveMs = 1_000;
/** Time in milliseconds for which a token that was granted too late can be used by another request. */
const lateTokenMs = 500;
/** Time in milliseconds without a request that no owner decided, after which this instance's part is earned anew. */
const ownPartTtlMs = 2_000;
/** Time in milliseconds for which the response to a request that went on to another instance is expected. */
const lateResponseMs = 1_000;
/** Longest time in milliseconds for which a rejection answers further requests without asking. */
const maxReusedRejectionMs = 100;
/** Share of a request's remaining time for which it waits for its token; the rest is needed to serve it. */
const delayShare = 0.5;
/** Maximum number of requests that wait for tokens that are not there yet. */
const maxDelayed = 256;

interface PendingRequest {
    id: string;
    name: string;
    decided: DecisionListener;
    endsAt: number;
    /** Addresses that were asked, the current one last; empty while the instance waits for its own start. */
    asked: string[];
    sentAt: number;
    /** Longest time in milliseconds for which it may wait for its token, as the owner was told. */
    maxDelayMs: number;
    isRepeated: boolean;
    /** Time at which an instance that had just started is asked again. */
    resumesAt: number;
    /** Time in milliseconds after which such an instance is asked again the next time. */
    resumeMs: number;
}

/** Part of a limit that this instance may admit without an owner. */
interface OwnPart {
    tokens: number;
    updatedAt: number;
}

/** Last rejection of a limit, which answers further requests for a moment. */
interface Rejection {
    until: number;
    /** Time at which the owner expects a token that a request may wait for; Infinity when it lets none wait. */
    reservableAt: number;
    retryAt: number;
    decidedBy: string;
}

/** Creates a client without pending requests. */
export function createTokenClient(options: TokenClientOptions): TokenClient {
    const { self, group, owner, now } = options;
    const startedAt = now();
    const pending = new Map<string, PendingRequest>();
    const unresponsiveUntil = new Map<string, number>();
    const rejections = new Map<string, Rejection>();
    /** Times until which tokens can be used that were granted too late, by name of the limit. */
    const lateTokens = new Map<string, number[]>();
    /** Requests that an instance has not answered in time, by `unansweredKey`, until when its response counts. */
    const unanswered = new Map<string, number>();
    const ownParts = new Map<string, OwnPart>();
    /** Number of requests that wait for tokens that are not there yet. */
    let delayed = 0;
    let lastId = 0;
    let isCheckScheduled = false;

    function scheduleCheck(): void {
        if (!isCheckScheduled && pending.size > 0) {
            isCheckScheduled = true;
            options.schedule(check, checkIntervalMs);
        }
    }

    function check(): void {
        isCheckScheduled = false;
        for (const request of [...pending.values()]) {
            checkRequest(request);
        }
        scheduleCheck();
    }

    function checkRequest(request: PendingRequest): void {
        const address = request.asked.at(-1);
        const waitedMs = now() - request.sentAt;
        if (now() >= request.endsAt) {
            finish(request, takeOwnPart(request.name), self());
        }
        else if (address === undefined || request.resumesAt > 0) {
            resume(request);
        }
        else if (waitedMs >= giveUpAfterMs) {
            options.count("token_owner_unresponsive");
            unresponsiveUntil.set(address, now() + unresponsiveMs);
            recordUnanswered(request.id, address);
            ask(request);
        }
        else if (waitedMs >= repeatAfterMs && !request.isRepeated) {
            request.isRepeated = true;
            send(request, address);
        }
    }

    function send({ id, name, maxDelayMs }: PendingRequest, address: string): void {
        options.send(address, maxDelayMs > 0 ? { id, name, maxDelayMs } : { id, name });
    }

    /** Returns for how many milliseconds a request that ends at a time may wait for its token. */
    function maxDelayOf(endsAt: number): number {
        const allowedMs = delayed < maxDelayed ? reservationMs(now() - startedAt) : 0;
        return Math.max(0, Math.floor(Math.min(allowedMs, (endsAt - now()) * delayShare)));
    }

    /** Continues a request that waited for the start of this instance or of the owner. */
    function resume(request: PendingRequest): void {
        if (now() >= request.resumesAt && owner.startsInMs() === 0) {
            request.resumesAt = 0;
            request.asked = [];
            ask(request);
        }
    }

    function unansweredKey(id: string, address: string): string {
        return `${id} ${address}`;
    }

    function recordUnanswered(id: string, address: string): void {
        for (const [key, until] of unanswered) {
            if (until > now()) {
                break;
            }
            unanswered.delete(key);
        }
        unanswered.set(unansweredKey(id, address), now() + lateResponseMs);
    }

    /** Keeps a token that was granted too late; a further response to the same request grants none. */
    function keepLateToken(from: string, { id, name }: TokenResponse): void {
        if (unanswered.delete(unansweredKey(id, from))) {
            options.count("token_late");
            lateTokens.set(name, [...lateTokens.get(name) ?? [], now() + lateTokenMs]);
        }
    }

    function isResponsive(address: string): boolean {
        return now() >= (unresponsiveUntil.get(address) ?? -Infinity);
    }

    function ask(request: PendingRequest): void {
        const address = request.asked.length < maxAsked
            ? options.owners(request.name).find(other => !request.asked.includes(other) && isResponsive(other))
            : undefined;
        if (address === undefined) {
            options.count("token_without_owner");
            finish(request, takeOwnPart(request.name), self());
            return;
        }
        request.asked.push(address);
        request.maxDelayMs = maxDelayOf(request.endsAt);
        if (address === self()) {
            applyDecision(request, owner.decide(request.name, request.maxDelayMs), address);
            return;
        }
        request.sentAt = now();
        request.isRepeated = false;
        send(request, address);
    }

    /** Ends a request with an owner's decision, or continues it when that owner cannot decide. */
    function applyDecision(request: PendingRequest, decision: TokenDecision, decidedBy: string): void {
        if (decision.kind === "unknown") {
            ask(request);
        }
        else if (decision.kind === "starting") {
            request.resumesAt = now() + Math.min(request.resumeMs, decision.remainingMs);
            request.resumeMs = Math.min(maxResumeMs, request.resumeMs * 2);
        }
        else {
            finish(request, decision, decidedBy);
        }
    }

    function finish(request: PendingRequest, decision: TokenDecision, decidedBy: string): void {
        pending.delete(request.id);
        if (decision.kind === "rejected") {
            rejections.set(request.name, {
                until: now() + Math.min(maxReusedRejectionMs, decision.nextTokenMs),
                reservableAt: decision.nextTokenMs > request.maxDelayMs ? now() + decision.nextTokenMs : Infinity,
                retryAt: now() + decision.retryAfterMs,
                decidedBy,
            });
        }
        if (decision.kind === "granted" && decision.delayMs !== undefined) {
            delayed += 1;
            options.schedule(() => {
                delayed -= 1;
                request.decided({ kind: "granted" }, decidedBy);
            }, decision.delayMs);
            return;
        }
        request.decided(decision, decidedBy);
    }

    /** Returns whether a rejection answers a request that ends at a time: it cannot wait for the next token. */
    function isReusable(rejection: Rejection, endsAt: number): boolean {
        return now() < rejection.until && now() + maxDelayOf(endsAt) < rejection.reservableAt;
    }

    /**
     * Takes a token from this instance's equal part of the limit. The part is earned from the first request without an owner
     * on, since the owner may have granted the burst.
     */
    function takeOwnPart(name: string): TokenDecision {
        const limit = group.get(name);
        if (limit === undefined) {
            return { kind: "unknown" };
        }
        let part = ownParts.get(name);
        if (part === undefined || now() - part.updatedAt > ownPartTtlMs) {
            part = { tokens: 0, updatedAt: now() };
            ownParts.set(name, part);
        }
        const partPerMs = limit.ratePerSecond / options.fleetSize() / 1_000;
        const capacity = Math.max(1, limit.burst / options.fleetSize());
        part.tokens = Math.min(capacity, part.tokens + (now() - part.updatedAt) * partPerMs);
        part.updatedAt = now();
        if (part.tokens < 1) {
            const waitMs = (1 - part.tokens) / partPerMs;
            return { kind: "rejected", nextTokenMs: waitMs, retryAfterMs: waitMs };
        }
        const decision = owner.decide(name);
        if (decision.kind === "granted") {
            part.tokens -= 1;
        }
        return decision;
    }

    function takeLateToken(name: string): boolean {
        const usable = lateTokens.get(name)?.filter(until => until > now()) ?? [];
        const found = usable.pop() !== undefined;
        if (usable.length === 0) {
            lateTokens.delete(name);
        }
        else {
            lateTokens.set(name, usable);
        }
        return found;
    }

    return {
        take(name, maxWaitMs, decided) {
            const rejection = rejections.get(name);
            if (takeLateToken(name)) {
                decided({ kind: "granted" }, self());
                return;
            }
            if (rejection !== undefined && isReusable(rejection, now() + maxWaitMs)) {
                const nextTokenMs = rejection.until - now();
                const retryAfterMs = Math.max(nextTokenMs, rejection.retryAt - now());
                decided({ kind: "rejected", nextTokenMs, retryAfterMs }, rejection.decidedBy);
                return;
            }
            const request: PendingRequest = {
                id: `${options.incarnation}-${lastId += 1}`,
                name,
                decided,
                endsAt: now() + maxWaitMs,
                asked: [],
                sentAt: now(),
                maxDelayMs: 0,
                isRepeated: false,
                resumesAt: 0,
                resumeMs: minResumeMs,
            };
            pending.set(request.id, request);
            if (owner.startsInMs() === 0) {
                ask(request);
            }
            scheduleCheck();
        },
        receive(from, response) {
            const { decision } = response;
            const request = pending.get(response.id);
            if (request === undefined) {
                if (decision.kind === "granted" && decision.delayMs === undefined) {
                    keepLateToken(from, response);
                }
                return;
            }
            applyDecision(request, decision, from);
            unresponsiveUntil.delete(from);
        },
    };
}
