/** Complete response that is returned to every retry. */
export interface StoredResponse {
    status: number;
    /** Alternating header names and values. */
    headers: string[];
    body: Buffer;
}

/** Single run of a request under its key. The caller calls exactly one of the methods, once. */
export interface Run {
    /** Records that the request ran, with its response; undefined when the response is too large to store. */
    recordResponse(response: StoredResponse | undefined): void;
    /** Records that the request may have run; it never runs again under this key. */
    recordUnknown(): void;
    /** Records that the request did not run; the key may be used for another attempt. */
    recordNotRun(): void;
}

/** Result of a successful claim: the right to run the request, or the response of the earlier run. */
export type Claim =
    | { kind: "run"; run: Run; }
    | { kind: "answered"; response: StoredResponse; };
