import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { createWaiters } from "../waiters";

/** Stand-in of the platform's store, for topics of keyed records. */
export interface StoreStandIn {
    address: string;
    /** Paths and queries of the calls received so far. */
    calls: string[];
    /** Appends a record in its encoded form, with its length in front, as another writer does. */
    append(topic: string, record: Buffer): void;
    /** Replaces all responses while it is set: a status to respond with, or "silent" for no response. */
    fault: number | "silent" | undefined;
    /** Replaces all pages of newest records while it is set. */
    page: object | undefined;
    /** Time in milliseconds over which each response is sent in parts while it is set; "stalled" sends only the first part. */
    transferMs: number | "stalled" | undefined;
    /** Value of the header `Store-Era` of all responses; undefined for a store that does not send it. */
    era: number | string | undefined;
    /** Returns a copy of all records, from which the store can be restored later. */
    copy(): StoreCopy;
    /** Replaces all records by those of a copy, raises the era, and completes waiting reads in the new era. */
    restore(copy: StoreCopy): void;
    close(): Promise<void>;
}

/** Records of all topics at one time. */
export type StoreCopy = ReadonlyMap<string, readonly Buffer[]>;

const eraHeader = "store-era";

/** Number of parts of a response that is sent over time. */
const transferParts = 20;

async function sendInParts(outgoing: ServerResponse, body: Buffer, transferMs: number | "stalled"): Promise<void> {
    const partBytes = Math.ceil(body.length / transferParts);
    for (let start = 0; start < body.length; start += partBytes) {
        outgoing.write(body.subarray(start, start + partBytes));
        if (transferMs === "stalled") {
            return;
        }
        await delay(transferMs / transferParts);
    }
    outgoing.end();
}

/** Records on one page of the newest records. */
const pageSize = 2;

function newestPage(records: readonly Buffer[], after: string | null): object {
    const newest = new Map<string, { Key: string; Value: string; Offset: number; }>();
    records.forEach((record, offset) => {
        const keyLength = record[4]!;
        const key = record.toString("utf8", 5, 5 + keyLength);
        const value = record.subarray(5 + keyLength);
        newest.delete(key);
        if (value.length > 0) {
            newest.set(key, { Key: key, Value: value.toString("base64"), Offset: offset });
        }
    });
    const items = [...newest.values()].sort((a, b) => a.Key < b.Key ? -1 : 1).filter(({ Key }) =>
        after === null || Key > after
    );
    return { items: items.slice(0, pageSize), HasMore: items.length > pageSize, EndOffset: records.length };
}

function readBody(incoming: IncomingMessage): Promise<Buffer> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
        incoming.on("end", () => resolve(Buffer.concat(chunks)));
    });
}

/** Starts the stand-in on a free local port. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
    const waiters = createWaiters();
    const topics = new Map<string, Buffer[]>();

    function recordsOf(topic: string): Buffer[] {
        const records = topics.get(topic) ?? [];
        topics.set(topic, records);
        return records;
    }

    function append(topic: string, record: Buffer): void {
        recordsOf(topic).push(record);
        waiters.wakeAll();
    }

    function eraHeaders(): Record<string, string> {
        return standIn.era === undefined ? {} : { [eraHeader]: String(standIn.era) };
    }

    async function handleCall(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        standIn.calls.push(incoming.url ?? "");
        if (standIn.fault === "silent") {
            return;
        }
        if (standIn.fault !== undefined) {
            outgoing.writeHead(standIn.fault, eraHeaders()).end();
            return;
        }
        const url = new URL(incoming.url ?? "", "http://store");
        const topic = url.searchParams.get("Topic") ?? "";
        const handlers: Record<string, () => Promise<Buffer | undefined>> = {
            "/api/log-newest": () => {
                const page = standIn.page ?? newestPage(recordsOf(topic), url.searchParams.get("after"));
                return Promise.resolve(json(page));
            },
            "/api/log-append": async () => {
                append(topic, await readBody(incoming));
                return json({ Offset: recordsOf(topic).length - 1, EndOffset: recordsOf(topic).length });
            },
            "/api/log-read": async () => {
                const from = Number(url.searchParams.get("From"));
                if (recordsOf(topic).length === from) {
                    await waiters.wait(Number(url.searchParams.get("WaitMs")));
                }
                const records = recordsOf(topic);
                if (records.length < from) {
                    return undefined;
                }
                const offsets = Buffer.alloc(16);
                offsets.writeBigUInt64BE(BigInt(records.length));
                return Buffer.concat([offsets, ...records.slice(from)]);
            },
        };
        const handle = handlers[url.pathname];
        if (handle === undefined) {
            outgoing.writeHead(404).end();
            return;
        }
        const body = await handle();
        if (body === undefined) {
            outgoing.writeHead(410, eraHeaders()).end();
            return;
        }
        outgoing.writeHead(200, eraHeaders());
        if (standIn.transferMs !== undefined) {
            await sendInParts(outgoing, body, standIn.transferMs);
            return;
        }
        outgoing.end(body);
    }

    const server: Server = createServer((incoming, outgoing) => void handleCall(incoming, outgoing)).listen(
        0,
        "127.0.0.1",
    );
    await once(server, "listening");
    const standIn: StoreStandIn = {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        calls: [],
        append,
        fault: undefined,
        page: undefined,
        transferMs: undefined,
        era: 1,
        copy: () => new Map([...topics].map(([topic, records]) => [topic, [...records]])),
        restore(copy) {
            topics.clear();
            copy.forEach((records, topic) => topics.set(topic, [...records]));
            standIn.era = Number(standIn.era ?? 0) + 1;
            waiters.wakeAll();
        },
        async close() {
            waiters.wakeAll();
            server.close();
            server.closeAllConnections();
            await once(server, "close");
        },
    };
    return standIn;
}

function json(value: object): Buffer {
    return Buffer.from(JSON.stringify(value));
}
