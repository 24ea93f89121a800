import type { Change, Configuration } from "@trefoilladder/configuration";
import { err, ok, safeTry } from "neverthrow";
import type { Result, ResultAsync } from "neverthrow";
import { readFileSync } from "node:fs";
import { submitAndWait } from "./edit-commands";
import type { EditOptions } from "./edit-commands";
import { ClientFailure } from "./exit-code";
import { describeChange, findChanges } from "./list-difference";
import { parseLists } from "./lists-file";
import type { Lists } from "./lists-file";
import { readConfiguration } from "./log-reader";
import type { Session } from "./session";

/** Options of the commands that compare a file with the lists in force. */
export interface CompareOptions {
    delete?: boolean;
}

function readLists(path: string): Result<Lists, ClientFailure> {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch {
        return err(new ClientFailure("unreadableFile", `cannot read ${path}`));
    }
    return parseLists(text).mapErr(issues => {
        const lines = issues.map(({ line, path: field, message }) => `${path}:${line}: ${field}: ${message}`);
        return new ClientFailure("badList", [...lines, `${path} has ${issues.length} mistakes`].join("\n"));
    });
}

/** Checks a lists file without contacting the log. */
export async function checkList(session: Session, path: string): Promise<Result<void, ClientFailure>> {
    return readLists(path).map(({ plans, organisations }) =>
        session.print({ plans: plans.length, organisations: organisations.length }, [
            `${path} is correct: ${plans.length} plans, ${organisations.length} organisations`,
        ])
    );
}

/** Shows the lists in force. */
export function showLists(session: Session): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const configuration = yield* await readConfiguration(yield* session.log());
        const plans = [...configuration.plans.values()];
        const organisations = [...configuration.organisations.values()];
        session.print({ appliedOffset: configuration.appliedOffset, plans, organisations }, [
            `offset ${configuration.appliedOffset}, ${plans.length} plans, ${organisations.length} organisations, `
            + `${configuration.keys.size} keys`,
            ...plans.flatMap(({ revision, value }) => [
                `plan ${value.name} (revision ${revision})${value.open === true ? ", open" : ""}: `
                + `rate ${value.ratePerSecond}/s, burst ${value.burst}`,
                ...value.routes.map(route =>
                    `    route ${route.name}: ${route.methods.join(",")} ${route.pathPrefix} -> ${route.service}`
                ),
            ]),
            ...organisations.map(({ revision, value }) =>
                `organisation ${value.name} (revision ${revision}): plan ${value.plan}`
            ),
        ]);
        return ok(undefined);
    });
}

interface Comparison {
    configuration: Configuration;
    changes: Change[];
}

function compare(
    session: Session,
    path: string,
    options: CompareOptions,
): ResultAsync<Comparison, ClientFailure> {
    return safeTry(async function*() {
        const lists = yield* readLists(path);
        const configuration = yield* await readConfiguration(yield* session.log());
        return ok({ configuration, changes: findChanges(configuration, lists, { deleteMissing: options.delete }) });
    });
}

/** Shows the changes that `apply` would make. */
export async function diffList(
    session: Session,
    path: string,
    options: CompareOptions,
): Promise<Result<void, ClientFailure>> {
    return (await compare(session, path, options)).map(({ configuration, changes }) =>
        session.print(
            { appliedOffset: configuration.appliedOffset, changes },
            changes.length === 0 ? ["no changes"] : changes.map(describeChange),
        )
    );
}

/** Appends the changes that turn the lists in force into those of a file. */
export function applyList(
    session: Session,
    path: string,
    options: CompareOptions & EditOptions,
): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const { configuration, changes } = yield* await compare(session, path, options);
        if (changes.length === 0) {
            session.print({ changes: [] }, ["no changes"]);
            return ok(undefined);
        }
        return submitAndWait(session, configuration, changes, options, edit => ({
            document: { edit: edit.id, offset: edit.offset, changes },
            lines: [...changes.map(describeChange), `edit ${edit.id} accepted by the log at offset ${edit.offset}`],
        }));
    });
}
