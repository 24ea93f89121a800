import type { Configuration } from "@trefoilladder/configuration";
import type { QuotaLimit } from "@trefoilladder/quota";

const openPlanPrefix = "open:";

/** Returns the rate and burst of an organisation, or those that the callers of an open plan share. */
export function limitOf(configuration: Configuration, organisation: string): QuotaLimit | undefined {
    const planName = organisation.startsWith(openPlanPrefix)
        ? organisation.slice(openPlanPrefix.length)
        : configuration.organisations.get(organisation)?.value.plan;
    const plan = planName === undefined ? undefined : configuration.plans.get(planName)?.value;
    return plan === undefined ? undefined : { ratePerSecond: plan.ratePerSecond, burst: plan.burst };
}
