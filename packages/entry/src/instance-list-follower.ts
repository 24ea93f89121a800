import type { Clock } from "@trefoilladder/clock";
import type { MembershipService } from "@trefoilladder/membership";
import type { InstanceListClient } from "@trefoilladder/platform";
import type { Router } from "@trefoilladder/routing";
import type { Telemetry } from "@trefoilladder/telemetry";

const pollIntervalMs = 500;

/** Polls the instance list and updates the router and the membership until the signal aborts. */
export async function followInstanceList(
    parts: {
        instanceList: InstanceListClient;
        router: Router;
        membership: MembershipService;
        clock: Clock;
        telemetry: Telemetry;
    },
    signal: AbortSignal,
): Promise<void> {
    const { instanceList, router, membership, clock, telemetry } = parts;
    while (!signal.aborted) {
        const listed = await instanceList.fetch(signal);
        if (listed.isOk()) {
            router.updateTargets(listed.value);
            membership.updateInstances(listed.value);
        }
        else {
            telemetry.count("instance_list.read_failures");
        }
        await clock.sleep(pollIntervalMs * (0.8 + 0.4 * Math.random()), signal);
    }
}
