import { Hono } from "hono";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { serveApplication } from "./http-server";
import { sharedNow } from "./shared-clock";

/** Faults of one direction of a link. */
export interface Direction {
    /** Delay of every byte, in milliseconds. */
    delayMs: number;
    /**
     * Withholds every byte. As with TCP, withheld bytes are delivered when the fault ends. The relay still accepts
     * connections, so the source sees a dropped connection attempt as a connection without response.
     */
    drop: boolean;
}

/** A relayed connection path from a source failure domain to a destination. */
export interface Link {
    source: string;
    destination: string;
    /** From the source to the destination. */
    forward: Direction;
    /** From the destination to the source. */
    backward: Direction;
    forwardBytes: number;
    backwardBytes: number;
    /** Port on which the source reaches the destination. */
    port: number;
}

/** Change of the matching links; an absent source or destination matches all. */
export interface LinkChange {
    source?: string;
    destination?: string;
    forward?: Partial<Direction>;
    backward?: Partial<Direction>;
}

/** A TCP relay that delays or withholds bytes per direction. */
export interface Relay {
    url: string;
    /** Opens a link: listens on a free port and forwards connections to a loopback port of the destination. */
    open(source: string, destination: string, port: number): Promise<Link>;
    change(change: LinkChange): void;
    close(): Promise<void>;
}

/** Interval at which the relay checks whether withheld bytes can be delivered. */
const dropPollMs = 10;

/** Starts a relay on loopback; links are opened and changed over HTTP or with the returned functions. */
export async function startRelay(options: { port?: number; } = {}): Promise<Relay> {
    const links: Link[] = [];
    const servers: Server[] = [];
    const sockets = new Set<Socket>();

    function track(socket: Socket): void {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    }

    function copyBytes(from: Socket, to: Socket, direction: Direction, count: (bytes: number) => void): void {
        let delivered = Promise.resolve();
        const deliver = async (action: () => void, arrivedAt: number) => {
            const remainingMs = arrivedAt + direction.delayMs - sharedNow();
            if (remainingMs > 0) {
                await delay(remainingMs);
            }
            while (direction.drop && !to.destroyed) {
                await delay(dropPollMs);
            }
            action();
        };
        const enqueue = (action: () => void) => {
            const arrivedAt = sharedNow();
            delivered = delivered.then(() => deliver(action, arrivedAt));
        };
        from.on("data", chunk => {
            count(chunk.length);
            enqueue(() => void to.write(chunk));
        });
        from.once("close", () => enqueue(() => void to.destroy()));
    }

    async function open(source: string, destination: string, port: number): Promise<Link> {
        const link: Link = {
            source,
            destination,
            forward: { delayMs: 0, drop: false },
            backward: { delayMs: 0, drop: false },
            forwardBytes: 0,
            backwardBytes: 0,
            port: 0,
        };
        const server = createServer(incoming => {
            const outgoing = connect(port, "127.0.0.1");
            track(incoming);
            track(outgoing);
            copyBytes(incoming, outgoing, link.forward, bytes => link.forwardBytes += bytes);
            copyBytes(outgoing, incoming, link.backward, bytes => link.backwardBytes += bytes);
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        link.port = (server.address() as AddressInfo).port;
        links.push(link);
        servers.push(server);
        return link;
    }

    function change({ source, destination, forward, backward }: LinkChange): void {
        for (const link of links) {
            if ((source ?? link.source) === link.source && (destination ?? link.destination) === link.destination) {
                Object.assign(link.forward, forward);
                Object.assign(link.backward, backward);
            }
        }
    }

    const app = new Hono();
    app.get("/control/links", context => context.json({ links }));
    app.post("/control/links", async context => {
        const body = await context.req.json<{ source: string; destination: string; port: number; }>();
        return context.json(await open(body.source, body.destination, body.port));
    });
    app.put("/control/links", async context => {
        change(await context.req.json<LinkChange>());
        return context.body(null, 204);
    });
    const control = await serveApplication(app.fetch, options.port ?? 0);
    return {
        url: `http://127.0.0.1:${control.port}`,
        open,
        change,
        async close() {
            servers.forEach(server => server.close());
            sockets.forEach(socket => socket.destroy());
            await control.close();
        },
    };
}
