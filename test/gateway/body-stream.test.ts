import { createBodyBuffer } from "../../packages/gateway/src/body-buffer";
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

describe("a body buffer", () => {
    test("holds what was added, in order", () => {
        const body = createBodyBuffer();
        const parts = Array.from({ length: 500 }, (_, index) => Buffer.from(`${index},`));
        parts.forEach(body.add);
        expect(body.size).toBe(Buffer.concat(parts).length);
        expect(body.bytes().equals(Buffer.concat(parts))).toBe(true);
    });

    // Guards against a byte of a body that keeps the whole block it was read in: chunk extensions of a faulty target filled the memory.
    test("keeps none of the blocks that it is given parts of", () => {
        const body = createBodyBuffer();
        for (let index = 0; index < 1_000; index++) {
            body.add(Buffer.alloc(65_536, "x").subarray(0, 1));
        }
        expect(body.size).toBe(1_000);
        expect(body.bytes().buffer.byteLength).toBeLessThan(4_096);
    });

    // Guards against a stream whose first part changes when the buffer is used again.
    test("leaves returned bytes as they are when more is added", () => {
        const body = createBodyBuffer();
        body.add(Buffer.from("first"));
        const bytes = body.bytes();
        body.add(Buffer.from("second"));
        expect(bytes.toString()).toBe("first");
    });
});
