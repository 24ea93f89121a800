/** A complete response that is returned to every retry. */
export interface StoredResponse {
    status: number;
    /** Header names and values in turn. */
    headers: string[];
    body: Buffer;
}

/** The single run of a request under its key; exactly one of the functions is called, once. */
export interface Run {
    /** The request ran and this is its response; undefined when the response is too large to be stored. */
    answered(response: StoredResponse | undefined): void;
    /** The request may have run and never runs again under this key. */
    unknown(): void;
    /** The request did not run; the key may be used for another try. */
    notRun(): void;
}

/** What the holder of a key may do: run the request, or return the response of the earlier run. */
export type Claim =
    | { kind: "run"; run: Run; }
    | { kind: "answered"; response: StoredResponse; };
