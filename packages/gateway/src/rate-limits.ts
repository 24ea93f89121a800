/**
 * Rate limits of all organisations.
 */

import { createSharedLimit } from "@trefoilladder/limits";
import type { LimitGroup, SharedLimit } from "@trefoilladder/limits";
import type { Organisation } from "@trefoilladder/serving";

/** The rate limits in force. */
export interface RateLimits {
    /** Returns the limit of an organisation; undefined when it has none. */
    limitOf(organisation: Organisation): SharedLimit | undefined;
    /** Applies the limits of a configuration. */
    configure(organisations: Iterable<Organisation>): void;
}

/** Creates the rate limits of organisations; they are stored in `group`. */
export function createRateLimits(group: LimitGroup, now: () => number): RateLimits {
    function put({ name, ratePerSecond, burst }: Organisation): void {
        const limit = group.get(name);
        if (limit !== undefined) {
            limit.resize(ratePerSecond, burst, now());
            return;
        }
        group.add(
            name,
            createSharedLimit({
                ratePerSecond,
                burst,
                now: now(),
                contactShare: 1,
                lastContactAt: group.lastContactAt,
            }),
        );
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
