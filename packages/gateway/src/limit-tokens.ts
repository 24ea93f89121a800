/**
 * Tokens of organisations' rate limits that requests take.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { AdmittedRequest } from "./admitted-request";
import type { LimitDecisions } from "./limit-decisions";
import { limitFields } from "./rate-limits";
import type { RateLimits } from "./rate-limits";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";

/** Dependencies of the tokens. */
export interface LimitTokenParts {
    rateLimits: RateLimits;
    limitDecisions: Pick<LimitDecisions, "take">;
    now(): number;
    random(): number;
}

/** Tokens of admitted requests. */
export interface LimitTokens {
    /** Takes a token for a request, or refuses it. */
    take(admitted: AdmittedRequest): Promise<Result<void, Refusal>>;
    /** Returns the token of a request that has not run. */
    giveBack(admitted: AdmittedRequest): void;
}

/** Longest Retry-After in seconds of a request over its organisation's limit. */
const maxRetryAfterSeconds = 5;

/** Creates the tokens. */
export function createLimitTokens(parts: LimitTokenParts): LimitTokens {
    const { now } = parts;

    /** Takes a token of the organisation's limit; its owner may be another instance. */
    async function take({ organisation, route, version, endAt }: AdmittedRequest): Promise<Result<void, Refusal>> {
        const limit = organisation === undefined || route.allowsAnonymous
            ? undefined
            : parts.rateLimits.limitOf(organisation);
        if (organisation === undefined || limit === undefined) {
            return ok(undefined);
        }
        const { decision, decidedBy } = await parts.limitDecisions.take(organisation.name, endAt - now());
        const inputs = () => ({
            organisation: organisation.name,
            version,
            decidedBy,
            ...limitFields(limit.state(now())),
        });
        switch (decision.kind) {
            case "rejected":
                return err(refusal("over_limit", 429, {
                    retryAfterSeconds: Math.min(
                        maxRetryAfterSeconds,
                        decision.retryAfterMs / 1_000 * (1 + parts.random()),
                    ),
                    inputs: { waitMs: Math.round(decision.retryAfterMs), ...inputs() },
                }));
            case "starting":
                return err(refusal("limit_unavailable", 503, {
                    retryAfterSeconds: decision.remainingMs / 1_000 * (1 + parts.random()),
                    inputs: inputs(),
                }));
            default:
                // Granted, or the limit has been removed meanwhile.
                return ok(undefined);
        }
    }

    /** Returns the rate limit token of a request that has not run. */
    function giveBack({ organisation, route }: AdmittedRequest): void {
        if (organisation !== undefined && !route.allowsAnonymous) {
            parts.rateLimits.limitOf(organisation)?.refund(now());
        }
    }

    return { take, giveBack };
}
