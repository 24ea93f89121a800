import type { Clock } from "@trefoilladder/clock";
import { configurationStream, editVerdict } from "@trefoilladder/configuration";
import type { Change, Configuration, Edit, EditVerdict } from "@trefoilladder/configuration";
import type { LogClient } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import { ClientFailure } from "./exit-code";
import { catchUp } from "./log-reader";

/** Result of an edit that was accepted. */
export interface SubmittedEdit {
    id: string;
    /** Offset of the record that decided. */
    offset: number;
}

const submissionTimeoutMs = 10_000;
const retryMs = 300;

/**
 * Creates an edit on top of a configuration. The id is derived from the changes and the offset that they are based on,
 * so that the same command on the same state makes the same edit.
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
 * Appends an edit and reads its verdict from the log. After a lost response the edit id is looked up, and the edit is
 * appended again when it is not there: a second copy changes nothing.
 *
 * Fails with `conflict`, `refused`, `logUnavailable` (nothing was appended) or `outcomeUnknown`.
 *
 * @param configuration configuration on which the edit is based; it is brought up to the verdict
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
            const answer = await log.append(configurationStream, edit);
            appended = answer.isOk();
            // A refusal is the log's own answer that nothing was appended; any other failure leaves it open.
            maybeAppended ||= appended || answer.isErr() && answer.error.code !== "platform_refused";
        }
        const read = await catchUp(log, configuration);
        const verdict = configuration.verdicts.get(edit.id);
        if (verdict !== undefined) {
            return toResult(edit, verdict);
        }
        if (clock.now() >= deadlineAt) {
            const cause = read.isErr() ? read.error : undefined;
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
        await clock.sleep(retryMs * (0.5 + Math.random()));
    }
}
