import type { Clock } from "@trefoilladder/clock";
import { err, ok } from "neverthrow";
import type { Quota } from "./quota";
import { QuotaRefusal } from "./quota";
import { createTokenBucket } from "./token-bucket";
import type { TokenBucket } from "./token-bucket";

/** Options of the local quota. */
export interface LocalQuotaOptions {
    /**
     * Share of each organisation's rate and burst that this instance uses.
     * @default 1
     */
    share?: number;
}

/** Creates a quota that this instance enforces alone, for the even-split baseline or a fleet of one instance. */
export function createLocalQuota(parts: { clock: Clock; }, options: LocalQuotaOptions = {}): Quota {
    const share = options.share ?? 1;
    const buckets = new Map<string, TokenBucket>();
    return {
        async admit({ organisation, ratePerSecond, burst }) {
            const now = parts.clock.now();
            let bucket = buckets.get(organisation);
            if (bucket === undefined) {
                bucket = createTokenBucket({ ratePerSecond: ratePerSecond * share, burst: burst * share, now });
                buckets.set(organisation, bucket);
            }
            bucket.resize(ratePerSecond * share, burst * share, now);
            const waitMs = bucket.take(1, now);
            return waitMs === 0
                ? ok(undefined)
                : err(new QuotaRefusal("rate_exceeded", "the organisation's rate is used up", waitMs));
        },
    };
}
