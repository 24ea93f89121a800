import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { FleetService } from "@trefoilladder/protocol";
import { Agent } from "node:http";
import type { MembershipPeer } from "./membership";

/** A client of the instance at one origin, and the connections under it. */
export interface PeerClient {
    peer: MembershipPeer;
    close(): void;
}

/** Bounds the sockets to one peer; a call that finds none waits within its own deadline. */
const maxSockets = 8;

/** Creates a client over HTTP/1.1 with connections that are kept open. */
export function createPeerClient(origin: string): PeerClient {
    const agent = new Agent({ keepAlive: true, maxSockets });
    const transport = createConnectTransport({
        baseUrl: origin,
        httpVersion: "1.1",
        useBinaryFormat: true,
        nodeOptions: { agent },
        // Compressing rows costs more CPU than the bytes are worth on the inner network.
        acceptCompression: [],
    });
    return { peer: createClient(FleetService, transport), close: () => agent.destroy() };
}
