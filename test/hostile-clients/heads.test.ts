import { headText, places, useHostileRun } from "./fixtures";

const run = useHostileRun();

/** Fields of one letter without a value, as many as a head of legal size has room for. */
const shortFields = "a:\r\n".repeat(3_200);

// Guards against a process that runs out of memory because each short field takes many times its bytes.
describe.each(places)("very many short fields at the place: %s", place => {
    test("in heads that do not end, and of requests whose bodies do not end", async () => {
        const ends = [`\r\nx`, "", shortFields, shortFields.repeat(8)];
        await run.crowd(place, 300, {
            send(socket, index) {
                const end = ends[index % ends.length]!;
                socket.write(`${headText(place, `h-${index}`)}Content-Length: 10\r\n${shortFields}${end}`);
            },
            reads: true,
            stayMs: 1_500,
        });
        await run.expectSound();
    }, 90_000);

    test("in requests that follow each other without a wait", async () => {
        const path = place === "route" ? "/lookup/1" : undefined;
        await run.crowd(place, 120, {
            send(socket, client) {
                for (let index = 0; index < 60; index++) {
                    const head = headText(place, `h-${client}-${index}`, { method: "GET", path });
                    socket.write(`${head}${shortFields}\r\n`);
                }
            },
            reads: false,
            stayMs: 3_000,
        });
        await run.expectSound();
    }, 90_000);
});
