import VError from "verror";

/** Fields that describe a failure. They must be safe to log: no key and no body. */
export type FailureInfo = Record<string, string | number | boolean | undefined>;

/** Base class of typed failures. The code is stable; callers and log queries match on it. */
export class Failure<Code extends string = string> extends VError {
    readonly code: Code;

    /**
     * @param code stable identifier of the kind of failure
     * @param message one human-readable sentence
     */
    constructor(code: Code, message: string, options: { cause?: Error; info?: FailureInfo; } = {}) {
        super({ name: code, cause: options.cause, info: options.info }, "%s", message);
        this.code = code;
    }
}
