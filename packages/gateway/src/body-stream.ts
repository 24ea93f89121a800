/** Receives the body of a response that is too large to be buffered. */
export interface BodySink {
    data(chunk: Buffer): void;
    end(): void;
    fail(): void;
}

/** Body of a response that is being received. */
export interface BodyStream extends BodySink {
    /** Passes what was received so far, and all that follows, to a sink. */
    attach(sink: BodySink): void;
}

/**
 * Creates the stream of a body whose first chunks have been received. Further chunks and the end may arrive before a
 * sink is attached, since the receiver gets the stream asynchronously, one turn later.
 */
export function createBodyStream(received: Buffer[]): BodyStream {
    let attached: BodySink | undefined;
    let ending: "end" | "fail" | undefined;

    function finish(how: "end" | "fail"): void {
        ending = how;
        attached?.[how]();
    }

    return {
        data(chunk) {
            if (attached === undefined) {
                received.push(chunk);
                return;
            }
            attached.data(chunk);
        },
        end: () => finish("end"),
        fail: () => finish("fail"),
        attach(sink) {
            attached = sink;
            received.forEach(sink.data);
            received = [];
            if (ending !== undefined) {
                sink[ending]();
            }
        },
    };
}
