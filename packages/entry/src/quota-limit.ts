import type { Configuration } from "@trefoilladder/configuration";
import type { QuotaLimit } from "@trefoilladder/quota";

const openPrefix = "open:";

/** Returns the rate and burst of an organisation, or of the callers of an open plan together. */
export function limitOf(configuration: Configuration, organisation: string): QuotaLimit | undefined {
    const plan = organisation.startsWith(openPrefix)
        ? organisation.slice(openPrefix.length)
        : configuration.organisations.get(organisation)?.value.plan;
    const found = plan === undefined ? undefined : configuration.plans.get(plan)?.value;
    return found === undefined ? undefined : { ratePerSecond: found.ratePerSecond, burst: found.burst };
}
