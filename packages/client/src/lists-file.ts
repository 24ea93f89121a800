import { organisationSchema, planSchema } from "@trefoilladder/configuration";
import type { Organisation, Plan } from "@trefoilladder/configuration";
import { checkYaml } from "@trefoilladder/settings";
import type { YamlDocument, YamlIssue } from "@trefoilladder/settings";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { z } from "zod";

/** Schema of the operators' lists. */
export const listsSchema = z.strictObject({
    plans: z.array(planSchema),
    organisations: z.array(organisationSchema),
});

/** The operators' lists. */
export interface Lists {
    plans: Plan[];
    organisations: Organisation[];
}

/** Fields that the checks across entities need; malformed values get defaults here, and `listsSchema` reports them. */
const outlineSchema = z.looseObject({
    plans: z.array(z.looseObject({
        name: z.string().catch(""),
        open: z.boolean().optional().catch(undefined),
        routes: z.array(z.looseObject({
            name: z.string().catch(""),
            pathPrefix: z.string().catch(""),
            methods: z.array(z.string()).catch([]),
        })).catch([]),
    })).catch([]),
    organisations: z.array(z.looseObject({ name: z.string().catch(""), plan: z.string().catch("") })).catch([]),
});

type Outline = YamlDocument<z.infer<typeof outlineSchema>>;

function findDuplicates(names: readonly string[]): number[] {
    const seen = new Set<string>();
    return names.flatMap((name, index) => name !== "" && seen.size === seen.add(name).size ? [index] : []);
}

function checkPlans({ value, issueAt }: Outline): YamlIssue[] {
    const issues = findDuplicates(value.plans.map(({ name }) => name))
        .map(index => issueAt(["plans", index, "name"], `plan ${value.plans[index]!.name} is listed twice`));
    value.plans.forEach(({ routes }, plan) => {
        for (const index of findDuplicates(routes.map(({ name }) => name))) {
            issues.push(
                issueAt(["plans", plan, "routes", index, "name"], `route ${routes[index]!.name} is listed twice`),
            );
        }
        const seenRoutes = new Set<string>();
        routes.forEach(({ methods, pathPrefix }, index) => {
            for (const method of new Set(methods)) {
                const methodAndPrefix = `${method} ${pathPrefix}`;
                if (seenRoutes.has(methodAndPrefix)) {
                    issues.push(
                        issueAt(
                            ["plans", plan, "routes", index, "pathPrefix"],
                            `an earlier route of the plan takes ${methodAndPrefix}`,
                        ),
                    );
                }
                seenRoutes.add(methodAndPrefix);
            }
        });
    });
    return issues;
}

function checkOrganisations({ value, issueAt }: Outline): YamlIssue[] {
    const plans = new Map(value.plans.map(plan => [plan.name, plan]));
    const issues = findDuplicates(value.organisations.map(({ name }) => name)).map(index =>
        issueAt(["organisations", index, "name"], `organisation ${value.organisations[index]!.name} is listed twice`)
    );
    value.organisations.forEach(({ plan }, index) => {
        if (plan === "") {
            return;
        }
        if (!plans.has(plan)) {
            issues.push(issueAt(["organisations", index, "plan"], `plan ${plan} is not listed`));
        }
        else if (plans.get(plan)!.open === true) {
            issues.push(
                issueAt(["organisations", index, "plan"], `plan ${plan} is open to all and takes no organisations`),
            );
        }
    });
    return issues;
}

/** Reads the lists from YAML; the failure lists every issue with its line and field. */
export function parseLists(text: string): Result<Lists, YamlIssue[]> {
    const lists = checkYaml(text, listsSchema);
    const issues = [
        ...lists.isErr() ? lists.error : [],
        ...checkYaml(text, outlineSchema).match(
            outline => [...checkPlans(outline), ...checkOrganisations(outline)],
            () => [],
        ),
    ];
    return lists.isOk() && issues.length === 0
        ? ok(lists.value.value)
        : err(issues.sort((a, b) => a.line - b.line));
}
