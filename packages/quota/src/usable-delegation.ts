import type { Delegation } from "@trefoilladder/protocol";
import { createTokenBucket } from "./token-bucket";
import type { TokenBucket } from "./token-bucket";

/** Delegation that this instance may use until its term ends. */
export interface UsableDelegation {
    number: bigint;
    /** Incarnation of the owner that granted it. */
    owner: string;
    /** Incarnation of this instance at the time of the grant. */
    holder: string;
    /** Time at which the holder stops using the delegation, in milliseconds. */
    endsAt: number;
    bucket: TokenBucket;
}

/** Creates a usable delegation from a response; its term starts when the request was sent. */
export function createUsableDelegation(
    message: Delegation,
    context: { owner: string; holder: string; sentAt: number; now: number; },
): UsableDelegation {
    return {
        number: message.number,
        owner: context.owner,
        holder: context.holder,
        endsAt: context.sentAt + message.termMs,
        bucket: createTokenBucket({
            ratePerSecond: message.ratePerSecond,
            burst: message.burst,
            level: message.level,
            now: context.now,
        }),
    };
}
