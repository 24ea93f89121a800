import type { Socket } from "node:net";

/** Hold on reading from a connection of an HTTP server. */
export interface ReadHold {
    /** Reads nothing further after the read that is being parsed. */
    hold(): void;
    release(): void;
    readonly isHeld: boolean;
}

/** Creates a hold that is not in force. Node.js resumes a connection at the end of each request; a held one is paused again. */
export function createReadHold(socket: Socket): ReadHold {
    let isHeld = false;
    socket.on("resume", () => {
        if (isHeld) {
            socket.pause();
        }
    });
    return {
        hold() {
            isHeld = true;
            socket.pause();
        },
        release() {
            if (isHeld) {
                isHeld = false;
                socket.resume();
            }
        },
        get isHeld() {
            return isHeld;
        },
    };
}
