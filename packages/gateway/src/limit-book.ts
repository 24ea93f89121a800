/**
 * Limits of all organisations.
 */

import { createSharedLimit } from "@trefoilladder/limits";
import type { LimitGroup, SharedLimit } from "@trefoilladder/limits";
import type { Organisation } from "@trefoilladder/serving";

/** The limits that are in force. */
export interface LimitBook {
    /** Returns the limit of an organisation; undefined when it has none. */
    limitOf(organisation: Organisation): SharedLimit | undefined;
    /** Puts the limits of a configuration in force. */
    configure(organisations: Iterable<Organisation>): void;
}

/** Creates a book that keeps the limits in a group. */
export function createLimitBook(group: LimitGroup, now: () => number): LimitBook {
    function put({ name, ratePerSecond, burst }: Organisation): void {
        const limit = group.get(name);
        if (limit !== undefined) {
            limit.resize(ratePerSecond, burst, now());
            return;
        }
        group.add(
            name,
            createSharedLimit({ ratePerSecond, burst, now: now(), contactShare: 1, heardAt: group.heardAt }),
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
