import { instanceRole, instanceState } from "@trefoilladder/platform";
import type { ListedInstance } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import type { Attempt, SlotRequest } from "./attempt";
import { RoutingFailure } from "./routing-failure";
import type { Target } from "./target";

/** Chooses targets and bounds the work in flight on each. */
export interface Router {
    /** Replaces the known targets by those of the platform's list. */
    update(instances: readonly ListedInstance[]): void;
    /** Waits for a slot on a target; fails when none comes in time. */
    acquire(request: SlotRequest): Promise<Result<Attempt, RoutingFailure>>;
    close(): Promise<void>;
}

interface TargetState {
    target: Target;
    pool: Pool;
    leaving: boolean;
    inFlight: number;
}

const connectionsPerTarget = 8;

/** Creates a router without targets. */
export function createRouter(): Router {
    const states = new Map<string, TargetState>();

    function addTarget(instance: ListedInstance): void {
        const origin = `http://${instance.address}:${instance.port}`;
        states.set(instance.id, {
            target: { id: instance.id, service: instance.service ?? "", origin, domain: instance.domain },
            pool: new Pool(origin, { connections: connectionsPerTarget, pipelining: 1 }),
            leaving: false,
            inFlight: 0,
        });
    }

    function leastLoaded(request: SlotRequest): TargetState | undefined {
        let best: TargetState | undefined;
        for (const state of states.values()) {
            const usable = state.target.service === request.service && !state.leaving
                && !request.excluded.has(state.target.id);
            if (usable && (best === undefined || state.inFlight < best.inFlight)) {
                best = state;
            }
        }
        return best;
    }

    return {
        update(instances) {
            const listed = new Set<string>();
            for (const instance of instances.filter(({ role }) => role === instanceRole.target)) {
                listed.add(instance.id);
                if (!states.has(instance.id)) {
                    addTarget(instance);
                }
                states.get(instance.id)!.leaving = instance.state === instanceState.leaving;
            }
            for (const [id, state] of states) {
                if (!listed.has(id)) {
                    states.delete(id);
                    void state.pool.close();
                }
            }
        },
        async acquire(request) {
            const state = leastLoaded(request);
            if (state === undefined) {
                return err(new RoutingFailure("no_target", "no target of the service is available"));
            }
            state.inFlight += 1;
            return ok({
                target: state.target,
                dispatcher: state.pool,
                release: () => {
                    state.inFlight -= 1;
                },
            });
        },
        async close() {
            await Promise.all([...states.values()].map(({ pool }) => pool.destroy()));
        },
    };
}
