import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { FleetService } from "@trefoilladder/protocol";
import { Agent } from "node:http";
import type { MembershipPeer } from "./membership";

/** Client of the instance at one origin, with its connections. */
export interface PeerClient {
    peer: MembershipPeer;
    close(): void;
}

/** Maximum number of sockets to one peer; a call that finds none free waits until its own deadline. */
const maxSockets = 8;

/** Creates an HTTP/1.1 client with persistent connections. */
export function createPeerClient(origin: string): PeerClient {
    const agent = new Agent({ keepAlive: true, maxSockets });
    const transport = createConnectTransport({
        baseUrl: origin,
        httpVersion: "1.1",
        useBinaryFormat: true,
        nodeOptions: { agent },
        // On the internal network, compressing rows costs more CPU time than the saved bytes are worth.
        acceptCompression: [],
    });
    return { peer: createClient(FleetService, transport), close: () => agent.destroy() };
}
