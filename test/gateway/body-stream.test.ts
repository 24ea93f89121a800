import { createBodyStream } from "../../packages/gateway/src/body-stream";

function recordingSink() {
    const seen: string[] = [];
    return {
        seen,
        sink: {
            data: (chunk: Buffer) => void seen.push(chunk.toString()),
            end: () => void seen.push("end"),
            fail: () => void seen.push("fail"),
        },
    };
}

// Guards against losing chunks that arrive before the sink is attached: the caller then receives a body with a gap.
describe("body stream", () => {
    test("buffers what arrives before a sink is attached", () => {
        const stream = createBodyStream([Buffer.from("a")]);
        stream.data(Buffer.from("b"));
        stream.end();
        const { seen, sink } = recordingSink();
        stream.attach(sink);
        expect(seen).toEqual(["a", "b", "end"]);
    });

    test("forwards what arrives later, and a failure", () => {
        const stream = createBodyStream([Buffer.from("a")]);
        const { seen, sink } = recordingSink();
        stream.attach(sink);
        stream.data(Buffer.from("b"));
        stream.fail();
        expect(seen).toEqual(["a", "b", "fail"]);
    });
});
