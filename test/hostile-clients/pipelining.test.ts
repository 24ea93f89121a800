import { headText, places, useHostileRun } from "./fixtures";

const run = useHostileRun();

const clients = 80;
const requests = 300;

// Guards against a process that runs out of memory because it reads requests ahead and keeps the responses that are not read.
test.each(places)("many requests at once without reading the responses at the place: %s", async place => {
    const path = place === "route" ? "/lookup/1" : undefined;
    await run.crowd(place, clients, {
        send(socket, client) {
            const heads = Array.from(
                { length: requests },
                (_, index) => `${headText(place, `p-${client}-${index}`, { method: "GET", path })}\r\n`,
            );
            socket.write(heads.join(""));
        },
        reads: false,
        stayMs: 3_000,
    });
    await run.expectSound();
}, 90_000);

// Guards against requests whose client has disconnected being kept because an earlier response was still pending.
test("many requests at once from clients that leave", async () => {
    for (let round = 0; round < 4; round++) {
        const opened = await run.crowd("route", clients, {
            send(socket, client) {
                const heads = Array.from(
                    { length: 40 },
                    (_, index) =>
                        `${
                            headText("route", `l-${round}-${client}-${index}`, { method: "GET", path: "/lookup/1" })
                        }\r\n`,
                );
                socket.write(heads.join(""));
            },
            reads: false,
            stayMs: 600,
        });
        opened.forEach(({ socket }) => socket.destroy());
    }
    await run.expectSound();
}, 90_000);
