import type { Change, Configuration } from "@trefoilladder/configuration";
import { ok, safeTry } from "neverthrow";
import type { ResultAsync } from "neverthrow";
import { createEdit, submitEdit } from "./edit-submission";
import type { SubmittedEdit } from "./edit-submission";
import type { ClientFailure } from "./exit-code";
import { checkPropagation, waitForPropagation } from "./propagation";
import type { Session } from "./session";

/** Options of the commands that submit an edit. */
export interface EditOptions {
    wait?: boolean;
    /** Maximum wait in seconds. */
    waitSeconds: number;
    author?: string;
}

/**
 * Appends changes as one edit, prints the result and, with `--wait`, waits until every live instance has applied it.
 * The result is printed before the wait, so that an interrupted wait does not lose the secret of a new key.
 */
export function submitAndWait(
    session: Session,
    configuration: Configuration,
    changes: Change[],
    options: EditOptions,
    describe: (edit: SubmittedEdit) => { document: object; lines: string[]; },
): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const log = yield* session.log();
        // Detects a missing address before anything is appended.
        const fleet = options.wait === true ? yield* session.fleet() : undefined;
        const edit = createEdit(configuration, changes, options.author);
        const submitted = yield* await submitEdit({ log, clock: session.clock }, configuration, edit);
        const { document, lines } = describe(submitted);
        session.print(document, lines);
        if (fleet === undefined) {
            return ok(undefined);
        }
        const showProgress = ({ applied, lagging }: { applied: string[]; lagging: unknown[]; }) =>
            session.progress(`applied by ${applied.length} of ${applied.length + lagging.length} instances`);
        const propagation = yield* await waitForPropagation(
            { fleet, clock: session.clock, onProgress: showProgress },
            submitted.offset,
            options.waitSeconds * 1_000,
        );
        if (session.json) {
            session.print({ propagation }, []);
        }
        const complete = yield* checkPropagation(propagation);
        if (!session.json) {
            session.print({}, [`in force on all ${complete.applied.length} live instances`]);
        }
        return ok(undefined);
    });
}
