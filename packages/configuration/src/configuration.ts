import type { LogRecord } from "@trefoilladder/platform";
import { editSchema } from "./edit";
import type { Change, Edit, Key, Organisation, Plan } from "./edit";

/** An entity with the revision that its last change gave it: the offset of that record plus one. */
export interface VersionedEntity<Value> {
    revision: number;
    value: Value;
}

/** Verdicts on an edit. Every reader of the stream comes to the same one. */
export const editVerdict = {
    accepted: "accepted",
    conflict: "conflict",
    invalid: "invalid",
} as const;

/** Code of a verdict. */
export type EditVerdictCode = typeof editVerdict[keyof typeof editVerdict];

/** Verdict on an edit, and why it was not accepted. */
export interface EditVerdict {
    code: EditVerdictCode;
    /** Offset of the record that decided. */
    offset: number;
    reason?: string;
}

/** The lists and keys, folded from the configuration stream up to an offset. */
export interface Configuration {
    /** Offset of the next record to apply. */
    appliedOffset: number;
    plans: Map<string, VersionedEntity<Plan>>;
    organisations: Map<string, VersionedEntity<Organisation>>;
    keys: Map<string, VersionedEntity<Key>>;
    /** Verdicts of recent edits by edit id, oldest first. */
    verdicts: Map<string, EditVerdict>;
}

/** Number of edit ids remembered: more than a day's edits at 5,800 a day, so a late duplicate is recognised. */
const maxRememberedVerdicts = 10_000;

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
    };
}

function assign<Value>(map: Map<string, Value>, name: string, value: Value | undefined): Undo {
    const before = map.get(name);
    if (value === undefined) {
        map.delete(name);
    }
    else {
        map.set(name, value);
    }
    return () => {
        if (before === undefined) {
            map.delete(name);
        }
        else {
            map.set(name, before);
        }
    };
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

function hasReference<Value>(entities: Map<string, VersionedEntity<Value>>, test: (value: Value) => boolean): boolean {
    for (const entity of entities.values()) {
        if (test(entity.value)) {
            return true;
        }
    }
    return false;
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
        return checkRevision(current, change.revision, `plan ${change.plan.name}`)
            ?? assign(configuration.plans, change.plan.name, { revision, value: change.plan });
    },
    "delete-plan"(configuration, change) {
        const problem = checkRevision(configuration.plans.get(change.name), change.revision, `plan ${change.name}`);
        if (problem !== undefined) {
            return problem;
        }
        if (hasReference(configuration.organisations, organisation => organisation.plan === change.name)) {
            return invalid(`plan ${change.name} still has organisations`);
        }
        return assign(configuration.plans, change.name, undefined);
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
        return assign(configuration.organisations, name, { revision, value: change.organisation });
    },
    "delete-organisation"(configuration, change) {
        const current = configuration.organisations.get(change.name);
        const problem = checkRevision(current, change.revision, `organisation ${change.name}`);
        if (problem !== undefined) {
            return problem;
        }
        if (hasReference(configuration.keys, key => key.organisation === change.name)) {
            return invalid(`organisation ${change.name} still has keys`);
        }
        return assign(configuration.organisations, change.name, undefined);
    },
    "create-key"(configuration, change, revision) {
        if (configuration.keys.has(change.key.id)) {
            return conflict(`key ${change.key.id} exists`);
        }
        if (!configuration.organisations.has(change.key.organisation)) {
            return invalid(`organisation ${change.key.organisation} does not exist`);
        }
        return assign(configuration.keys, change.key.id, { revision, value: change.key });
    },
    "revoke-key"(configuration, change) {
        // Needs no revision: a revocation must never lose a race.
        return assign(configuration.keys, change.id, undefined);
    },
};

function applyChange(configuration: Configuration, change: Change, revision: number): Undo | ChangeProblem {
    const handler = changeHandlers[change.kind] as ChangeHandlers[typeof change.kind];
    return (handler as (c: Configuration, change: Change, revision: number) => Undo | ChangeProblem)(
        configuration,
        change,
        revision,
    );
}

function applyEdit(configuration: Configuration, edit: Edit, offset: number): EditVerdict {
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

function rememberVerdict(configuration: Configuration, editId: string, verdict: EditVerdict): void {
    configuration.verdicts.set(editId, verdict);
    if (configuration.verdicts.size > maxRememberedVerdicts) {
        const [oldest] = configuration.verdicts.keys();
        configuration.verdicts.delete(oldest!);
    }
}

/**
 * Applies one record of the configuration stream in place. A record at an offset that is already applied changes
 * nothing, so the configuration never reverts.
 *
 * @returns the verdict, or undefined when the record was applied before or is not an edit
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
    rememberVerdict(configuration, parsed.data.id, verdict);
    return verdict;
}
