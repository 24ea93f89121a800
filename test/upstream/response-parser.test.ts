import { createResponseParser } from "../../packages/upstream/src/response-parser";

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Parses a chunked body whose bytes arrive in the given parts. */
function parse(parts: readonly string[]): { body: string; calls: number; ended: boolean; error: Error | undefined; } {
    const read = { body: "", calls: 0, ended: false, error: undefined as Error | undefined };
    const parser = createResponseParser({
        head: () => false,
        body(chunk) {
            read.body += chunk.toString("latin1");
            read.calls += 1;
        },
        end: () => read.ended = true,
    });
    for (const part of [head, ...parts]) {
        read.error ??= parser.execute(Buffer.from(part, "latin1"));
    }
    return read;
}

/** Sizes of chunks as they are written, in hexadecimal. */
const sizes = ["1", "f", "10", "fF", "ff", "100", "01", "0002", "3;extension=1", "3 ", "1", "1", "A"];
const contents = sizes.map((size, index) => String.fromCharCode(0x61 + index).repeat(parseInt(size, 16)));
const text = `${sizes.map((size, index) => `${size}\r\n${contents[index]}\r\n`).join("")}0\r\n\r\n`;

// Guards against a body that is read differently because of where its reads end.
test("chunks of every form are read the same wherever the reads are cut", () => {
    for (let cut = 0; cut <= text.length; cut++) {
        const { body, ended, error } = parse([text.slice(0, cut), text.slice(cut)]);
        expect(error).toBeUndefined();
        expect(body).toBe(contents.join(""));
        expect(ended).toBe(true);
    }
    const bytewise = parse([...text]);
    expect(bytewise).toMatchObject({ body: contents.join(""), ended: true, error: undefined });
});

// Guards against taking a malformed small chunk as content.
test.each([
    "1\r\nxx\r\n",
    "2\r\nx\r0\r\n",
    "g\r\nx\r\n",
    "-1\r\nx\r\n",
    "1x\r\nx\r\n",
    "\r\nx\r\n",
    "1\rxx\r\n",
    "1\r\nx\rx0\r\n\r\n",
])(
    "the chunk %j is refused or not complete",
    chunk => {
        const { error, ended } = parse([`1\r\na\r\n${chunk}0\r\n\r\n`]);
        expect(error).toBeInstanceOf(Error);
        expect(ended).toBe(false);
    },
);

// Guards against an object for each chunk of a byte, which takes seconds of processor time for an ordinary body.
test("the small chunks of one read are passed on together", () => {
    const { body, calls } = parse(["1\r\nx\r\n".repeat(10_000)]);
    expect(body.length).toBe(10_000);
    expect(calls).toBe(1);
});
