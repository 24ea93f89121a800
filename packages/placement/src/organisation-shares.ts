/**
 * Share of an organisation's requests that are admitted while targets are full.
 *
 * Load pattern: one organisation sends 6.8 times its usual load and fills the targets of a service that many organisations share.
 * Only what exceeds both its usual rate and a fair share is thinned out.
 */

/** Rates of requests by organisation on this instance. */
export interface OrganisationShares {
    record(organisation: string, now: number): void;
    /** Returns the share of the organisation's requests, from 0 to 1, that is within its fair rate. */
    fairShare(organisation: string, now: number): number;
}

interface Rate {
    recent: number;
    usual: number;
    at: number;
}

/** Time constants in milliseconds of the recent and the usual rate. */
const recentMs = 3_000;
const usualMs = 180_000;
/** An organisation may exceed its usual rate by this factor. */
const toleratedFactor = 1.3;
/** Requests above the fair rate within `recentMs` that are tolerated, since an instance sees few requests of an organisation. */
const toleratedRequests = 3;
/** Recent requests from which an organisation counts as active. */
const activeRequests = 0.2;
/** Maximum number of organisations; the one that sent least recently is removed. */
const maxOrganisations = 1_000;

/** Creates the rates without requests. */
export function createOrganisationShares(startedAt: number): OrganisationShares {
    const rates = new Map<string, Rate>();
    let totalRecent = 0;
    let totalAt = startedAt;

    function advance(rate: Rate, now: number): void {
        const elapsedMs = Math.max(0, now - rate.at);
        rate.recent *= Math.exp(-elapsedMs / recentMs);
        rate.usual *= Math.exp(-elapsedMs / usualMs);
        rate.at = now;
    }

    function advanceTotal(now: number): void {
        totalRecent *= Math.exp(-Math.max(0, now - totalAt) / recentMs);
        totalAt = now;
    }

    function activeCount(now: number): number {
        let count = 0;
        for (const { recent, at } of rates.values()) {
            count += recent * Math.exp(-(now - at) / recentMs) >= activeRequests ? 1 : 0;
        }
        return Math.max(1, count);
    }

    /** Returns the share of a rate that is fair; the rate is up to date. */
    function shareOf(rate: Rate, now: number): number {
        advanceTotal(now);
        // The usual rate is known only since the start.
        const knownMs = usualMs * (1 - Math.exp(-Math.max(recentMs, now - startedAt) / usualMs));
        const usual = rate.usual / knownMs * recentMs;
        const allowed = Math.max(toleratedFactor * usual, totalRecent / activeCount(now)) + toleratedRequests;
        return Math.min(1, allowed / Math.max(1, rate.recent));
    }

    return {
        record(organisation, now) {
            const rate = rates.get(organisation) ?? { recent: 0, usual: 0, at: now };
            advance(rate, now);
            rate.recent += 1;
            // A surge counts only as far as it is fair, so that it does not become the usual rate.
            rate.usual += shareOf(rate, now);
            rates.delete(organisation);
            rates.set(organisation, rate);
            if (rates.size > maxOrganisations) {
                rates.delete(rates.keys().next().value!);
            }
            advanceTotal(now);
            totalRecent += 1;
        },
        fairShare(organisation, now) {
            const rate = rates.get(organisation);
            if (rate === undefined) {
                return 1;
            }
            advance(rate, now);
            return shareOf(rate, now);
        },
    };
}
