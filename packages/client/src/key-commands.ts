import { createKey as generateKey } from "@trefoilladder/configuration";
import { err, ok, safeTry } from "neverthrow";
import type { ResultAsync } from "neverthrow";
import { submitAndWait } from "./edit-commands";
import type { EditOptions } from "./edit-commands";
import { ClientFailure } from "./exit-code";
import { readConfiguration } from "./log-reader";
import type { Session } from "./session";

/** Creates a key and prints it once; only the hash of its secret is stored. */
export function createKey(
    session: Session,
    organisation: string,
    options: EditOptions,
): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const configuration = yield* await readConfiguration(yield* session.log());
        const { text, key } = generateKey(organisation);
        const changes = [{ kind: "create-key" as const, key }];
        const created = await submitAndWait(session, configuration, changes, options, edit => ({
            document: { key: text, id: key.id, organisation, edit: edit.id, offset: edit.offset },
            lines: [
                `key:          ${text}`,
                `id:           ${key.id}`,
                `organisation: ${organisation}`,
                "The key cannot be shown again.",
            ],
        }));
        return created.mapErr(failure =>
            failure.code === "outcomeUnknown"
                ? new ClientFailure(
                    "outcomeUnknown",
                    `the log does not tell whether key ${key.id} was created, and its secret was not shown; `
                        + `when "key list" shows it, revoke it and create another`,
                    { cause: failure },
                )
                : failure
        );
    });
}

/** Lists the keys in force, without their hashes. */
export function listKeys(session: Session, organisation?: string): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const configuration = yield* await readConfiguration(yield* session.log());
        const keys = [...configuration.keys.values()]
            .filter(({ value }) => organisation === undefined || value.organisation === organisation)
            .map(({ revision, value }) => ({ id: value.id, organisation: value.organisation, revision }));
        session.print(
            { keys },
            keys.length === 0
                ? ["no keys"]
                : keys.map(key => `${key.id}  ${key.organisation}  revision ${key.revision}`),
        );
        return ok(undefined);
    });
}

/** Revokes a key. Rejects an id that is not in force, because a mistyped id would leave the intended key valid. */
export function revokeKey(session: Session, id: string, options: EditOptions): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const configuration = yield* await readConfiguration(yield* session.log());
        const key = configuration.keys.get(id);
        if (key === undefined) {
            return err(new ClientFailure("refused", `no key ${id} is in force`));
        }
        return submitAndWait(session, configuration, [{ kind: "revoke-key", id }], options, edit => ({
            document: { id, organisation: key.value.organisation, edit: edit.id, offset: edit.offset },
            lines: [`key ${id} of ${key.value.organisation} revoked at offset ${edit.offset}`],
        }));
    });
}
