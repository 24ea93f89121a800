import type { Change, Configuration, VersionedEntity } from "@trefoilladder/configuration";
import { isDeepStrictEqual } from "node:util";
import type { Lists } from "./lists-file";

/** Options of the comparison. */
export interface DifferenceOptions {
    /**
     * Also delete plans and organisations that are not in the lists.
     * @default false
     */
    deleteMissing?: boolean;
}

function changedEntities<Value extends { name: string; }>(
    current: ReadonlyMap<string, VersionedEntity<Value>>,
    wanted: readonly Value[],
): { revision: number; value: Value; }[] {
    return wanted
        .map(value => ({ entity: current.get(value.name), value }))
        .filter(({ entity, value }) => !isDeepStrictEqual(entity?.value, value))
        .map(({ entity, value }) => ({ revision: entity?.revision ?? 0, value }));
}

function missingEntities<Value>(
    current: ReadonlyMap<string, VersionedEntity<Value>>,
    wanted: readonly { name: string; }[],
): { revision: number; name: string; }[] {
    const names = new Set(wanted.map(({ name }) => name));
    return [...current].filter(([name]) => !names.has(name)).map(([name, { revision }]) => ({ revision, name }));
}

/** Returns the changes that turn the configuration into the lists, each with the revision that it replaces. */
export function findChanges(configuration: Configuration, lists: Lists, options: DifferenceOptions = {}): Change[] {
    const plans = changedEntities(configuration.plans, lists.plans)
        .map(({ revision, value }) => ({ kind: "put-plan" as const, revision, plan: value }));
    const organisations = changedEntities(configuration.organisations, lists.organisations)
        .map(({ revision, value }) => ({ kind: "put-organisation" as const, revision, organisation: value }));
    const deleteMissing = options.deleteMissing === true;
    const missingOrganisations = deleteMissing ? missingEntities(configuration.organisations, lists.organisations) : [];
    const missingPlans = deleteMissing ? missingEntities(configuration.plans, lists.plans) : [];
    // A plan can be opened or deleted only after its organisations are moved to other plans or deleted.
    return [
        ...plans.filter(({ plan }) => plan.open !== true),
        ...organisations,
        ...missingOrganisations.map(change => ({ kind: "delete-organisation" as const, ...change })),
        ...plans.filter(({ plan }) => plan.open === true),
        ...missingPlans.map(change => ({ kind: "delete-plan" as const, ...change })),
    ];
}

type ChangeDescriptions = { [Kind in Change["kind"]]: (change: Extract<Change, { kind: Kind; }>) => string; };

function describePut(revision: number, entity: string): string {
    return revision === 0 ? `add ${entity}` : `change ${entity} (revision ${revision})`;
}

const changeDescriptions: ChangeDescriptions = {
    "put-plan": ({ revision, plan }) =>
        `${describePut(revision, `plan ${plan.name}`)}: ${
            plan.open === true ? "open, " : ""
        }rate ${plan.ratePerSecond}/s, `
        + `burst ${plan.burst}, ${plan.routes.length} routes`,
    "delete-plan": ({ revision, name }) => `delete plan ${name} (revision ${revision})`,
    "put-organisation": ({ revision, organisation }) =>
        `${describePut(revision, `organisation ${organisation.name}`)}: plan ${organisation.plan}`,
    "delete-organisation": ({ revision, name }) => `delete organisation ${name} (revision ${revision})`,
    "create-key": ({ key }) => `create key ${key.id} of ${key.organisation}`,
    "revoke-key": ({ id }) => `revoke key ${id}`,
};

/** Describes a change in one line. */
export function describeChange(change: Change): string {
    const describe = changeDescriptions[change.kind] as (change: Change) => string;
    return describe(change);
}
