/**
 * Slots of the targets: attempts that hold them, and requests that wait for one.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Attempt, SlotRequest } from "./attempt";
import { attemptOutcome } from "./attempt";
import { trackProgress } from "./attempt-progress";
import { adjustInFlightLimit } from "./in-flight-limit";
import type { RandomSource } from "./random-source";
import { RoutingFailure } from "./routing-failure";
import type { ServiceState, SlotWaiter } from "./service-state";
import { chooseTarget } from "./target-choice";
import { startDraining } from "./target-draining";
import type { DrainingParts } from "./target-draining";
import { isUsable, trafficShare, usableSlots } from "./target-state";
import type { TargetState } from "./target-state";

/** Dependencies of the slots. */
export interface SlotParts extends DrainingParts {
    random: RandomSource;
}

/** Allocation of slots. */
export interface SlotAllocation {
    /** Waits for a slot of a service; fails if none becomes free before the deadline. */
    acquire(service: ServiceState | undefined, request: SlotRequest): Promise<Result<Attempt, RoutingFailure>>;
    /** Gives free slots of a service to the requests that wait. */
    serveWaiters(service: ServiceState): void;
}

/** Weight of the latest request in the moving average of the time that a request holds a slot. */
const holdWeight = 0.1;
/** Maximum pause after a shed response, so that a wrong Retry-After cannot exclude a target for long. */
const maxPauseMs = 60_000;

/** Creates the allocation. */
export function createSlotAllocation(parts: SlotParts): SlotAllocation {
    const { clock, policy, random } = parts;

    function tryAcquire(service: ServiceState, request: SlotRequest): Attempt | undefined {
        const now = clock.now();
        const candidates = [...service.targets.values()]
            .filter(state =>
                isUsable(state, now) && now >= state.pausedUntil && !request.excludedTargets.has(state.target.id)
            )
            .map(state => ({
                state,
                inFlight: state.inFlight,
                slots: usableSlots(state, now, policy),
                share: trafficShare(state, now, policy),
            }))
            .filter(({ inFlight, slots }) => inFlight < slots);
        const established = request.idempotent === false ? candidates.filter(({ share }) => share === 1) : [];
        const choice = chooseTarget(established.length > 0 ? established : candidates, random);
        return choice === undefined ? undefined : startAttempt(service, choice.state, request);
    }

    function startAttempt(service: ServiceState, state: TargetState, request: SlotRequest): Attempt {
        const startedAt = clock.now();
        const { dispatcher, progress } = trackProgress(state.pool.dispatcher(), clock);
        let released = false;
        state.inFlight += 1;
        state.lastTrafficAt = startedAt;
        state.pendingAttempts.add(progress);
        return {
            target: state.target,
            dispatcher,
            release(report) {
                if (released) {
                    return;
                }
                released = true;
                const now = clock.now();
                const measured = { ...report, headersMs: progress.headersMs ?? report.headersMs };
                state.limit = adjustInFlightLimit(state.limit, measured, {
                    now,
                    inFlight: state.inFlight,
                    max: policy.maxInFlight,
                });
                state.inFlight -= 1;
                state.pendingAttempts.delete(progress);
                state.evidenceWindow.add({
                    startedAt,
                    endedAt: now,
                    outcome: report.outcome,
                    headersMs: measured.headersMs,
                });
                if (report.draining === true) {
                    startDraining(parts, state, "response");
                }
                if (report.outcome === attemptOutcome.shed) {
                    const pauseMs = Math.min(maxPauseMs, report.retryAfterMs ?? policy.shedPauseMs);
                    state.pausedUntil = Math.max(state.pausedUntil, now + pauseMs);
                }
                service.averageHoldMs += holdWeight * (now - startedAt - service.averageHoldMs);
                service.queue.releaseSlot(request.organisation);
                serveWaiters(service);
            },
        };
    }

    function serveWaiters(service: ServiceState): void {
        if (service.queue.size === 0) {
            return;
        }
        service.queue.serveAll(waiter => {
            const attempt = tryAcquire(service, waiter.request);
            if (attempt !== undefined) {
                waiter.grant(attempt);
            }
            return attempt !== undefined;
        });
    }

    /** Returns the expected wait of a new waiter of the organisation in milliseconds. */
    function expectedWait(service: ServiceState, request: SlotRequest, usable: readonly TargetState[]): number {
        const now = clock.now();
        const pauseMs = Math.max(0, Math.min(...usable.map(state => state.pausedUntil)) - now);
        const slots = usable.reduce((sum, state) => sum + usableSlots(state, now, policy), 0);
        return pauseMs + service.queue.countWaitersAhead(request.organisation) * service.averageHoldMs / slots;
    }

    function waitForSlot(service: ServiceState, request: SlotRequest): Promise<Result<Attempt, RoutingFailure>> {
        return new Promise(resolve => {
            const timer = new AbortController();
            const settle = (result: Result<Attempt, RoutingFailure>) => {
                request.signal.removeEventListener("abort", cancel);
                timer.abort();
                resolve(result);
            };
            const waiter: SlotWaiter = {
                organisation: request.organisation,
                request,
                grant: attempt => settle(ok(attempt)),
                reject: failure => settle(err(failure)),
            };
            const cancel = () => {
                service.queue.remove(waiter);
                waiter.reject(new RoutingFailure("cancelled", "the caller went away"));
            };
            request.signal.addEventListener("abort", cancel, { once: true });
            void clock.sleep(request.deadlineAt - clock.now(), timer.signal).then(() => {
                if (!timer.signal.aborted) {
                    service.queue.remove(waiter);
                    waiter.reject(new RoutingFailure("deadline_too_short", "no slot came before the deadline"));
                }
            });
            const displaced = service.queue.push(waiter);
            displaced?.reject(new RoutingFailure("queue_full", "too many requests wait for the service"));
            serveWaiters(service);
        });
    }

    /** Returns the service when a request may wait for one of its slots. */
    function checkRequest(
        service: ServiceState | undefined,
        request: SlotRequest,
    ): Result<ServiceState, RoutingFailure> {
        const now = clock.now();
        const usable = [...service?.targets.values() ?? []]
            .filter(state => isUsable(state, now) && !request.excludedTargets.has(state.target.id));
        if (request.signal.aborted) {
            return err(new RoutingFailure("cancelled", "the caller went away"));
        }
        if (service === undefined || usable.length === 0) {
            return err(new RoutingFailure("no_target", "no target of the service is available"));
        }
        if (request.deadlineAt <= now || now + expectedWait(service, request, usable) > request.deadlineAt) {
            return err(new RoutingFailure("deadline_too_short", "the wait for a slot would outlast the deadline"));
        }
        return ok(service);
    }

    return {
        async acquire(known, request) {
            const found = checkRequest(known, request);
            if (found.isErr()) {
                return err(found.error);
            }
            const service = found.value;
            const attempt = service.queue.size === 0 ? tryAcquire(service, request) : undefined;
            if (attempt !== undefined) {
                service.queue.recordSlot(request.organisation);
                return ok(attempt);
            }
            return waitForSlot(service, request);
        },
        serveWaiters,
    };
}
