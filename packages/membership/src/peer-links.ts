import type { PeerClient } from "./peer-client";

/** Connection to another instance and the state of the pulls from it. Times are monotonic and in milliseconds. */
export interface PeerLink {
    origin: string;
    client: PeerClient;
    pulledAt: number;
    failures: number;
    retryAt: number;
}

/** Connections to other instances. */
export interface PeerLinks {
    /** Returns the link to an instance; undefined for this instance and for one that is not listed. */
    to(id: string): PeerLink | undefined;
    remove(id: string): void;
    close(): void;
}

/** Creates the links of this instance; `originOf` returns the origin of an instance, undefined for one without a link. */
export function createPeerLinks(
    connect: (origin: string) => PeerClient,
    originOf: (id: string) => string | undefined,
): PeerLinks {
    const links = new Map<string, PeerLink>();

    return {
        to(id) {
            const origin = originOf(id);
            if (origin === undefined) {
                return undefined;
            }
            let link = links.get(id);
            if (link === undefined || link.origin !== origin) {
                link?.client.close();
                link = { origin, client: connect(origin), pulledAt: -Infinity, failures: 0, retryAt: -Infinity };
                links.set(id, link);
            }
            return link;
        },
        remove(id) {
            links.get(id)?.client.close();
            links.delete(id);
        },
        close() {
            for (const link of links.values()) {
                link.client.close();
            }
            links.clear();
        },
    };
}
