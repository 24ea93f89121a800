import { Failure } from "@trefoilladder/failures";

/** Exit codes of the client, documented in docs/operators/lists-and-keys.md. */
export const exitCode = {
    ok: 0,
    unexpected: 1,
    /** A concurrent edit changed an entity first. */
    conflict: 3,
    /** The edit contradicts the lists, for example an unknown plan. */
    refused: 4,
    /** A majority has applied the edit, but not every live instance within the wait. */
    lagging: 5,
    /** No majority has applied the edit within the wait. */
    notAccepted: 6,
    usage: 64,
    badList: 65,
    unreadableFile: 66,
    /** The log cannot be reached and nothing was appended. */
    logUnavailable: 69,
    /** The instance list, or every instance, cannot be reached. */
    fleetUnavailable: 70,
    /** The log became unreachable during the append; the edit may take effect later. */
    outcomeUnknown: 75,
    badSettings: 78,
} as const;

/** Failure codes of a command; the client prints them with `--json`. */
export type ClientFailureCode = Exclude<keyof typeof exitCode, "ok">;

/** Failure of a command; its code selects the exit code. */
export class ClientFailure extends Failure<ClientFailureCode> {}
