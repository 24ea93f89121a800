import type { LogRecord } from "@trefoilladder/platform";
import { createConfigurationIndex, reindexKey, reindexOrganisation, reindexPlan } from "./configuration-index";
import type { ConfigurationIndex } from "./configuration-index";
import { editSchema } from "./edit";
import type { Change, Edit, Key, Organisation, Plan } from "./edit";

/** Entity and its revision: the offset of the record that last changed it, plus one. */
export interface VersionedEntity<Value> {
    revision: number;
    value: Value;
}

/** Verdicts on an edit. Every reader of the stream computes the same verdict. */
export const editVerdict = {
    accepted: "accepted",
    conflict: "conflict",
    invalid: "invalid",
} as const;

/** Code of a verdict. */
export type EditVerdictCode = typeof editVerdict[keyof typeof editVerdict];

/** Verdict on an edit, with the reason when the edit was not accepted. */
export interface EditVerdict {
    code: EditVerdictCode;
    /** Offset of the record that determined the verdict. */
    offset: number;
    reason?: string;
}

/** Plans, organisations and keys that result from the configuration stream up to an offset. */
export interface Configuration {
    /** Offset of the next record to apply. */
    appliedOffset: number;
    plans: Map<string, VersionedEntity<Plan>>;
    organisations: Map<string, VersionedEntity<Organisation>>;
    keys: Map<string, VersionedEntity<Key>>;
    /** Verdicts of recent edits by edit id, oldest first. */
    verdicts: Map<string, EditVerdict>;
    /** Index of the maps above; every change updates it. */
    readonly index: ConfigurationIndex;
}

/** Content of a configuration as lists, in the iteration order of its maps. */
export interface ConfigurationContent {
    appliedOffset: number;
    plans: VersionedEntity<Plan>[];
    organisations: VersionedEntity<Organisation>[];
    keys: VersionedEntity<Key>[];
    verdicts: [string, EditVerdict][];
}

/** Number of recent edits whose verdicts are kept to detect duplicates: more than a day of edits at 5,800 a day. */
export const maxRetainedVerdicts = 10_000;

interface ChangeProblem {
    code: EditVerdictCode;
    reason: string;
}

type Undo = () => void;

/** Creates an empty configuration. */
export function createConfiguration(): Configuration {
    return {
        appliedOffset: 0,
        plans: new Map(),
        organisations: new Map(),
        keys: new Map(),
        verdicts: new Map(),
        index: createConfigurationIndex(),
    };
}

type OptionalEntity<Value> = VersionedEntity<Value> | undefined;
type Reindex<Value> = (index: ConfigurationIndex, before: Value | undefined, after: Value | undefined) => void;

function setEntity<Value>(
    map: Map<string, VersionedEntity<Value>>,
    name: string,
    entity: OptionalEntity<Value>,
    reindex: (before: Value | undefined, after: Value | undefined) => void,
): Undo {
    const before = map.get(name);
    const set = (from: OptionalEntity<Value>, to: OptionalEntity<Value>) => {
        if (to === undefined) {
            map.delete(name);
        }
        else {
            map.set(name, to);
        }
        reindex(from?.value, to?.value);
    };
    set(before, entity);
    return () => set(entity, before);
}

function bindReindex<Value>(configuration: Configuration, reindex: Reindex<Value>) {
    return (before: Value | undefined, after: Value | undefined) => reindex(configuration.index, before, after);
}

function assignPlan(configuration: Configuration, name: string, entity: OptionalEntity<Plan>): Undo {
    return setEntity(configuration.plans, name, entity, bindReindex(configuration, reindexPlan));
}

function assignOrganisation(configuration: Configuration, name: string, entity: OptionalEntity<Organisation>): Undo {
    return setEntity(configuration.organisations, name, entity, bindReindex(configuration, reindexOrganisation));
}

function assignKey(configuration: Configuration, id: string, entity: OptionalEntity<Key>): Undo {
    return setEntity(configuration.keys, id, entity, bindReindex(configuration, reindexKey));
}

function conflict(reason: string): ChangeProblem {
    return { code: editVerdict.conflict, reason };
}

function invalid(reason: string): ChangeProblem {
    return { code: editVerdict.invalid, reason };
}

function checkRevision(
    current: VersionedEntity<unknown> | undefined,
    expected: number,
    entity: string,
): ChangeProblem | undefined {
    const actual = current?.revision ?? 0;
    return actual === expected ? undefined : conflict(`${entity} is at revision ${actual}, not ${expected}`);
}

function hasOrganisations(configuration: Configuration, plan: string): boolean {
    return configuration.index.organisationCountByPlan.has(plan);
}

type ChangeHandlers = {
    [Kind in Change["kind"]]: (
        configuration: Configuration,
        change: Extract<Change, { kind: Kind; }>,
        revision: number,
    ) => Undo | ChangeProblem;
};

const changeHandlers: ChangeHandlers = {
    "put-plan"(configuration, change, revision) {
        const current = configuration.plans.get(change.plan.name);
        const problem = checkRevision(current, change.revision, `plan ${change.plan.name}`);
        if (problem !== undefined) {
            return problem;
        }
        if (change.plan.open === true && hasOrganisations(configuration, change.plan.name)) {
            return invalid(`plan ${change.plan.name} has organisations and cannot be open to all`);
        }
        return assignPlan(configuration, change.plan.name, { revision, value: change.plan });
    },
    "delete-plan"(configuration, change) {
        const problem = checkRevision(configuration.plans.get(change.name), change.revision, `plan ${change.name}`);
        if (problem !== undefined) {
            return problem;
        }
        if (hasOrganisations(configuration, change.name)) {
            return invalid(`plan ${change.name} still has organisations`);
        }
        return assignPlan(configuration, change.name, undefined);
    },
    "put-organisation"(configuration, change, revision) {
        const { name, plan } = change.organisation;
        const problem = checkRevision(configuration.organisations.get(name), change.revision, `organisation ${name}`);
        if (problem !== undefined) {
            return problem;
        }
        const planEntity = configuration.plans.get(plan);
        if (planEntity === undefined) {
            return invalid(`plan ${plan} does not exist`);
        }
        if (planEntity.value.open === true) {
            return invalid(`plan ${plan} is open to all and takes no organisations`);
        }
        return assignOrganisation(configuration, name, { revision, value: change.organisation });
    },
    "delete-organisation"(configuration, change) {
        const current = configuration.organisations.get(change.name);
        const problem = checkRevision(current, change.revision, `organisation ${change.name}`);
        if (problem !== undefined) {
            return problem;
        }
        if (configuration.index.keysByOrganisation.has(change.name)) {
            return invalid(`organisation ${change.name} still has keys`);
        }
        return assignOrganisation(configuration, change.name, undefined);
    },
    "create-key"(configuration, change, revision) {
        if (configuration.keys.has(change.key.id)) {
            return conflict(`key ${change.key.id} exists`);
        }
        if (!configuration.organisations.has(change.key.organisation)) {
            return invalid(`organisation ${change.key.organisation} does not exist`);
        }
        return assignKey(configuration, change.key.id, { revision, value: change.key });
    },
    "revoke-key"(configuration, change) {
        // Takes no revision, so that a concurrent edit never makes a revocation fail.
        return assignKey(configuration, change.id, undefined);
    },
};

function applyChange(configuration: Configuration, change: Change, revision: number): Undo | ChangeProblem {
    const handler = changeHandlers[change.kind] as ChangeHandlers[typeof change.kind];
    return (handler as (configuration: Configuration, change: Change, revision: number) => Undo | ChangeProblem)(
        configuration,
        change,
        revision,
    );
}

function applyEdit(configuration: Configuration, edit: Edit, offset: number): EditVerdict {
    // Below this distance no verdict has been evicted, so a duplicate of the edit is always detected. Without the
    // limit, a very late duplicate could create a revoked key again.
    if (edit.baseOffset !== undefined && offset - edit.baseOffset >= maxRetainedVerdicts) {
        return { code: editVerdict.invalid, offset, reason: "the edit was appended too long after it was made" };
    }
    const undos: Undo[] = [];
    for (const change of edit.changes) {
        const outcome = applyChange(configuration, change, offset + 1);
        if (typeof outcome !== "function") {
            undos.reverse().forEach(undo => undo());
            return { code: outcome.code, offset, reason: outcome.reason };
        }
        undos.push(outcome);
    }
    return { code: editVerdict.accepted, offset };
}

function retainVerdict(configuration: Configuration, editId: string, verdict: EditVerdict): void {
    configuration.verdicts.set(editId, verdict);
    if (configuration.verdicts.size > maxRetainedVerdicts) {
        const [oldest] = configuration.verdicts.keys();
        configuration.verdicts.delete(oldest!);
    }
}

/**
 * Applies one record of the configuration stream in place. Ignores a record at an offset that is already applied, so
 * the configuration never reverts.
 *
 * @returns the verdict, or undefined when the record is already applied or is not an edit
 */
export function applyRecord(configuration: Configuration, record: LogRecord): EditVerdict | undefined {
    if (record.offset < configuration.appliedOffset) {
        return undefined;
    }
    configuration.appliedOffset = record.offset + 1;
    const parsed = editSchema.safeParse(record.value);
    if (!parsed.success) {
        return undefined;
    }
    const known = configuration.verdicts.get(parsed.data.id);
    if (known !== undefined) {
        return known;
    }
    const verdict = applyEdit(configuration, parsed.data, record.offset);
    retainVerdict(configuration, parsed.data.id, verdict);
    return verdict;
}

/**
 * Replaces the whole content in place. Ignores a replacement that is not newer, so the configuration never reverts.
 *
 * @returns whether the content was replaced
 */
export function replaceConfiguration(configuration: Configuration, replacement: ConfigurationContent): boolean {
    if (replacement.appliedOffset <= configuration.appliedOffset) {
        return false;
    }
    const { plans, organisations, keys } = configuration;
    keys.forEach((_entity, id) => assignKey(configuration, id, undefined));
    organisations.forEach((_entity, name) => assignOrganisation(configuration, name, undefined));
    plans.forEach((_entity, name) => assignPlan(configuration, name, undefined));
    configuration.verdicts.clear();
    replacement.plans.forEach(entity => assignPlan(configuration, entity.value.name, entity));
    replacement.organisations.forEach(entity => assignOrganisation(configuration, entity.value.name, entity));
    replacement.keys.forEach(entity => assignKey(configuration, entity.value.id, entity));
    replacement.verdicts.forEach(([id, verdict]) => configuration.verdicts.set(id, verdict));
    configuration.appliedOffset = replacement.appliedOffset;
    return true;
}
