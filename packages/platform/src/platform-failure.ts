import { Failure } from "@trefoilladder/failures";

/** Codes of failed calls to the platform's services. */
export type PlatformFailureCode =
    | "platform_unreachable"
    | "platform_bad_answer"
    | "platform_refused"
    | "platform_records_expired";

/** Failure of a call to the log or the instance list. */
export class PlatformFailure extends Failure<PlatformFailureCode> {}
