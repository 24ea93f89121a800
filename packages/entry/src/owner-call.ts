import { membershipFailure } from "@trefoilladder/membership";
import type { Membership } from "@trefoilladder/membership";
import type { FleetQuotaParts, QuotaOwner } from "@trefoilladder/quota";
import type { Telemetry } from "@trefoilladder/telemetry";

/** Returns the call to the owner of an organisation; the call to this instance itself stays in the process. */
export function createOwnerCall(
    parts: { membership: Membership; quotaOwner: QuotaOwner; telemetry: Telemetry; },
): FleetQuotaParts["callOwner"] {
    const { membership, quotaOwner, telemetry } = parts;
    return async (owner, request, timeoutMs) => {
        if (owner === membership.self()) {
            return quotaOwner.acquire(request);
        }
        try {
            return await membership.peer(owner)?.acquire(request, { timeoutMs });
        }
        catch (thrown) {
            telemetry.count("quota.acquire_failures", { code: membershipFailure(thrown, owner).code });
            return undefined;
        }
    };
}
