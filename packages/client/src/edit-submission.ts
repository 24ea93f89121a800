import type { Clock } from "@trefoilladder/clock";
import { configurationStream, editVerdict } from "@trefoilladder/configuration";
import type { Change, Configuration, Edit, EditVerdict } from "@trefoilladder/configuration";
import type { LogClient } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import { ClientFailure } from "./exit-code";
import { catchUp } from "./log-reader";

/** Result of an accepted edit. */
export interface SubmittedEdit {
    id: string;
    /** Offset of the record that was accepted. */
    offset: number;
}

const submissionTimeoutMs = 10_000;
const retryIntervalMs = 300;

/**
 * Creates an edit that is based on a configuration. The id is derived from the changes and the base offset, so that the
 * same command on the same state creates the same edit.
 */
export function createEdit(configuration: Configuration, changes: Change[], author: string | undefined): Edit {
    const baseOffset = configuration.appliedOffset;
    const digest = createHash("sha256").update(JSON.stringify({ baseOffset, changes })).digest("hex");
    return { id: `edit-${digest.slice(0, 40)}`, author, baseOffset, changes };
}

function toResult(edit: Edit, verdict: EditVerdict): Result<SubmittedEdit, ClientFailure> {
    if (verdict.code === editVerdict.accepted) {
        return ok({ id: edit.id, offset: verdict.offset });
    }
    const { code, reason } = verdict;
    return err(
        code === editVerdict.conflict
            ? new ClientFailure("conflict", `another edit came first: ${reason}; nothing was changed`)
            : new ClientFailure("refused", `the edit was refused: ${reason}; nothing was changed`),
    );
}

/**
 * Appends an edit and reads its verdict from the log. After a lost response it looks up the edit id and appends the
 * edit again when the log does not contain it: a duplicate has no effect.
 *
 * Fails with `conflict`, `refused`, `logUnavailable` (nothing was appended) or `outcomeUnknown`.
 *
 * @param configuration configuration on which the edit is based; updated in place up to the verdict
 */
export async function submitEdit(
    parts: { log: LogClient; clock: Clock; },
    configuration: Configuration,
    edit: Edit,
): Promise<Result<SubmittedEdit, ClientFailure>> {
    const { log, clock } = parts;
    const deadlineAt = clock.now() + submissionTimeoutMs;
    let maybeAppended = false;
    let appended = false;
    for (;;) {
        if (!appended) {
            const response = await log.append(configurationStream, edit);
            appended = response.isOk();
            // With `platform_refused` nothing was appended; after any other failure the outcome is unknown.
            maybeAppended ||= appended || response.isErr() && response.error.code !== "platform_refused";
        }
        const readResult = await catchUp(log, configuration);
        const verdict = configuration.verdicts.get(edit.id);
        if (verdict !== undefined) {
            return toResult(edit, verdict);
        }
        if (clock.now() >= deadlineAt) {
            const cause = readResult.isErr() ? readResult.error : undefined;
            return err(
                maybeAppended
                    ? new ClientFailure(
                        "outcomeUnknown",
                        `the log does not tell whether edit ${edit.id} was appended`,
                        {
                            cause,
                        },
                    )
                    : new ClientFailure("logUnavailable", "the log refused the edit; nothing was changed", { cause }),
            );
        }
        await clock.sleep(retryIntervalMs * (0.5 + Math.random()));
    }
}
