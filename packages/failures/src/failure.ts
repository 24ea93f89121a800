import VError from "verror";

/** Fields that describe a failure, safe to log: never a key or a body. */
export type FailureInfo = Record<string, string | number | boolean | undefined>;

/** Base of every typed failure. The code is stable and is what callers and logs match on. */
export class Failure<Code extends string = string> extends VError {
    readonly code: Code;

    /**
     * @param code stable identifier of the kind of failure
     * @param message one sentence for people
     */
    constructor(code: Code, message: string, options: { cause?: Error; info?: FailureInfo; } = {}) {
        super({ name: code, cause: options.cause, info: options.info }, "%s", message);
        this.code = code;
    }
}
