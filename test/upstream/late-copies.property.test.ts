import fc from "fast-check";
import type { Socket } from "node:net";
import { createPool, exchange, responseText, startScriptedTarget } from "./scripted-target";

/** A further copy of an earlier response, and when and how the target writes it. */
interface LateCopy {
    /** The request after whose arrival the copy is written, and the earlier one that it repeats. */
    beforeResponse: number;
    of: number;
    /** Whether the copy arrives while the connection is idle, before that request. */
    whileIdle: boolean;
    /** Share of the copy that is written. */
    share: number;
    /** Bytes of each write. */
    chunkBytes: number;
}

const requestCount = 4;
const runs = Number(process.env["LATE_COPY_RUNS"] ?? 300);

const lateCopy: fc.Arbitrary<LateCopy> = fc.record({
    beforeResponse: fc.integer({ min: 1, max: requestCount - 1 }),
    of: fc.integer({ min: 0, max: requestCount - 2 }),
    whileIdle: fc.boolean(),
    share: fc.oneof(fc.constant(1), fc.double({ min: 0, max: 1, noNaN: true })),
    chunkBytes: fc.constantFrom(1, 7, 64, 10_000),
});

function writeCopy(socket: Socket, { of, share, chunkBytes }: LateCopy): void {
    const text = responseText(`r${of}`, `body of r${of}`);
    const part = text.slice(0, Math.round(text.length * share));
    for (let start = 0; start < part.length; start += chunkBytes) {
        socket.write(part.slice(start, start + chunkBytes));
    }
}

// Guards against a second copy of a response that arrives late, on a connection that is in use again, and reaches the next
// caller. Further runs by hand: LATE_COPY_RUNS=25000 npx jest test/upstream/late-copies
test("a late copy of an earlier response never reaches another request", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(lateCopy, { minLength: 1, maxLength: 4 }), async copies => {
            const pool = createPool();
            const target = await startScriptedTarget((socket, _, id) => {
                const index = Number(id.slice(1));
                const due = copies.filter(copy => copy.beforeResponse === index && copy.of < index);
                due.filter(({ whileIdle }) => !whileIdle).forEach(copy => writeCopy(socket, copy));
                socket.write(responseText(id, `body of ${id}`));
                const next = copies.filter(copy => copy.beforeResponse === index + 1 && copy.of <= index);
                next.filter(({ whileIdle }) => whileIdle).forEach(copy => setTimeout(() => writeCopy(socket, copy), 1));
            });
            for (let index = 0; index < requestCount; index++) {
                const { body, failure } = await exchange(pool, target.port, `r${index}`);
                if (failure === undefined) {
                    expect(body).toBe(`body of r${index}`);
                }
            }
            pool.close();
            await target.close();
        }),
        { numRuns: runs, seed: 20261205 },
    );
}, 600_000);
