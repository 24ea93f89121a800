/**
 * Rate limits of all organisations.
 */

import { createSharedLimit } from "@trefoilladder/limits";
import type { LimitGroup, LimitState, SharedLimit } from "@trefoilladder/limits";
import type { Organisation } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { roundToThousandths } from "./rounding";

/** The rate limits in force. */
export interface RateLimits {
    /** Returns the limit of an organisation; undefined when it has none. */
    limitOf(organisation: Organisation): SharedLimit | undefined;
    /** Applies the limits of a configuration. */
    configure(organisations: Iterable<Organisation>): void;
}

/** Returns the fields of a log line about a limit, rounded. */
export function limitFields(state: LimitState): Record<string, number> {
    return {
        level: Math.round(state.level * 10) / 10,
        burst: state.burst,
        share: roundToThousandths(state.contactShare),
        admitted: Math.round(state.admitted),
        rejected: state.rejected,
        reporters: state.reporters,
        newsAgeMs: Math.round(state.oldestAgeMs),
    };
}

/** Creates the rate limits of organisations; they are stored in `group`. */
export function createRateLimits(
    group: LimitGroup,
    now: () => number,
    log: Pick<DecisionLog, "stateChange">,
): RateLimits {
    function put({ name, ratePerSecond, burst }: Organisation): void {
        const limit = group.restore(name);
        if (limit !== undefined) {
            limit.resize(ratePerSecond, burst, now());
            return;
        }
        const added = createSharedLimit({
            ratePerSecond,
            burst,
            now: now(),
            contactShare: 1,
            lastContactAt: group.lastContactAt,
            creditsFirstRefund: true,
        });
        group.add(name, added);
        log.stateChange("limit_added", { organisation: name, ratePerSecond, ...limitFields(added.state(now())) });
    }

    return {
        limitOf: organisation => group.get(organisation.name),
        configure(organisations) {
            const limited = [...organisations].filter(({ ratePerSecond }) => ratePerSecond > 0);
            group.retain(new Set(limited.map(({ name }) => name)));
            limited.forEach(put);
        },
    };
}
