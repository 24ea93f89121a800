import type { TargetDigest } from "@trefoilladder/mesh";
import type { TargetTracker } from "../../packages/gateway/src/target-tracker";
import type { EventQueue } from "./event-queue";

/** Digests between the instances of a simulation, with the intervals and delays of the mesh. */
export interface SimulatedDigests {
    start(): void;
    /** Sends an instance's digest soon instead of at the next interval. */
    request(instance: number): void;
}

const baseIntervalMs = 200;
const maxIntervalMs = 600;
const maxPeersAtBaseInterval = 44;
const urgentIntervalMs = 60;
/** Delay of a digest through a relay, in milliseconds. */
const minDelayMs = 60;
const maxDelayMs = 120;

/** Creates the exchange between trackers. */
export function createSimulatedDigests(options: {
    trackers: readonly TargetTracker[];
    queue: EventQueue;
    random(): number;
    lossShare: number;
}): SimulatedDigests {
    const { trackers, queue, random, lossShare } = options;
    const intervalMs = Math.min(
        maxIntervalMs,
        baseIntervalMs * Math.max(1, trackers.length / maxPeersAtBaseInterval),
    );
    const sentAt = trackers.map(() => -Infinity);
    const requested = new Set<number>();

    function deliver(sender: number, rows: readonly TargetDigest[]): void {
        trackers.forEach((tracker, receiver) => {
            if (receiver !== sender && random() >= lossShare) {
                rows.forEach(tracker.applyPeerDigest);
            }
        });
    }

    function send(instance: number): void {
        sentAt[instance] = queue.now;
        requested.delete(instance);
        const rows = trackers[instance]!.collectObservations();
        if (rows.length > 0) {
            queue.schedule(minDelayMs + random() * (maxDelayMs - minDelayMs), () => deliver(instance, rows));
        }
    }

    function tick(instance: number): void {
        if (queue.now - sentAt[instance]! >= 0.9 * intervalMs) {
            send(instance);
        }
        queue.schedule(baseIntervalMs, () => tick(instance));
    }

    return {
        start() {
            trackers.forEach((tracker, instance) => {
                // Estimates that were set before the start are not sent to the other instances.
                tracker.collectObservations();
                queue.schedule(random() * baseIntervalMs, () => tick(instance));
            });
        },
        request(instance) {
            if (!requested.has(instance)) {
                requested.add(instance);
                const waitMs = Math.max(0, sentAt[instance]! + urgentIntervalMs - queue.now);
                queue.schedule(waitMs, () => requested.has(instance) && send(instance));
            }
        },
    };
}
