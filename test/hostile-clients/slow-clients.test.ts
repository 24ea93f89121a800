import type { Socket } from "node:net";
import { headText, places, useHostileRun } from "./fixtures";
import type { Place } from "./fixtures";

const run = useHostileRun();

const clients = 600;

/** Sends one byte now and then, until the connection is closed. */
function sendSlowly(socket: Socket): void {
    const timer = setInterval(() => socket.destroyed ? clearInterval(timer) : socket.write("x"), 400);
    socket.on("close", () => clearInterval(timer));
}

/** What the clients do; a client does not read when `reads` is false. */
const behaviours: { reads: boolean; send(socket: Socket, place: Place, index: number): void; }[] = [
    { reads: true, send: () => undefined },
    { reads: true, send: (socket, place, index) => void socket.write(headText(place, `s-${index}`)) },
    {
        reads: true,
        send(socket, place, index) {
            socket.write(`${headText(place, `s-${index}`)}Content-Length: 1000\r\n\r\n`);
            sendSlowly(socket);
        },
    },
    {
        reads: false,
        send(socket, place, index) {
            const path = place === "route" ? "/lookup/1" : undefined;
            socket.write(`${headText(place, `s-${index}`, { method: "GET", path })}\r\n`.repeat(3));
        },
    },
];

// Guards against connections of slow clients that take all descriptors or the memory of a process.
test.each(places)("many clients that send nothing, or send or read slowly, at the place: %s", async place => {
    await Promise.all(behaviours.map(({ reads, send }) =>
        run.crowd(place, clients / behaviours.length, {
            send: (socket, index) => send(socket, place, index),
            reads,
            stayMs: 1_500,
        })
    ));
    await run.expectSound();
}, 90_000);
