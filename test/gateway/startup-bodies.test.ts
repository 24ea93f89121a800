import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { responseText } from "../upstream/scripted-target";
import { startFleet } from "./fixtures";
import type { Fleet } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

const bodyBytes = 48 * 1024 * 1024;

// Guards against a process that runs out of memory after a restart because it reads the bodies of requests that wait for the
// configuration.
test("reads no body while its request waits for the configuration", async () => {
    fleet = await startFleet({
        responders: [(socket, _, id) => void socket.write(responseText(id))],
        isRefused: () => true,
    });
    const socket = connect(fleet.callers[0]!);
    socket.on("error", () => undefined);
    await once(socket, "connect");
    socket.write(
        "POST /filing/1 HTTP/1.1\r\nHost: laurel.example\r\nRequest-Id: early\r\nDeadline-Ms: 20000\r\n"
            + `Content-Length: ${bodyBytes}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(bodyBytes));
    await delay(700);
    expect(socket.writableLength).toBeGreaterThan(0);
    socket.destroy();
});
