import type { Clock } from "@trefoilladder/clock";
import type { ConfigurationFollower } from "@trefoilladder/configuration";
import type { Membership } from "@trefoilladder/membership";
import type { QuotaOwner } from "@trefoilladder/quota";
import type { Router } from "@trefoilladder/routing";
import type { Settings } from "@trefoilladder/settings";
import { encodeHistograms } from "@trefoilladder/telemetry";
import type { Telemetry } from "@trefoilladder/telemetry";

/** Parts that the status document describes. */
export interface StatusParts {
    settings: Settings;
    clock: Clock;
    telemetry: Telemetry;
    membership: Membership;
    follower: ConfigurationFollower;
    quotaOwner: QuotaOwner;
    router: Router;
    /** Bytes on the inner listener since the start. */
    trafficBytes(): number;
}

/** Renders the status document of this instance as JSON. It contains no secrets. */
export function renderStatus(parts: StatusParts, options: { histograms: boolean; }): string {
    const { settings, clock, telemetry, membership, follower, quotaOwner, router } = parts;
    const now = clock.now();
    return JSON.stringify({
        instanceId: settings.instanceId,
        incarnation: membership.self(),
        appliedOffset: follower.configuration.appliedOffset,
        fresh: follower.isFresh(now),
        lease: { held: membership.holdsLease(), remainingMs: Math.max(0, membership.leaseUntil() - now) },
        members: membership.members().length,
        quota: quotaOwner.describe().map(bucket => ({ role: "owner", ...bucket })),
        targets: router.services().flatMap(service =>
            router.targets(service).map(({ id, leaving, cold, ejected, inFlight, slots }) => ({
                service,
                id,
                leaving,
                cold,
                ejected,
                inFlight,
                slots,
            }))
        ),
        ejections: router.services().flatMap(service =>
            router.ejections(service).map(({ target, domains, evidence, remainingMs }) => ({
                service,
                target,
                domains,
                evidence,
                remainingMs,
            }))
        ),
        innerTrafficBytes: parts.trafficBytes(),
        counters: telemetry.metricValues(),
        ...(options.histograms ? { histograms: encodeHistograms(telemetry.histograms()) } : {}),
    });
}
