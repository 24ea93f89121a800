import type { KeyedRecord } from "@trefoilladder/replication";
import type { TargetRecord } from "@trefoilladder/serving";
import { ok } from "neverthrow";
import { createTargetRecords } from "../../packages/gateway/src/target-records";
import { createTestDirectory } from "../replication/create-test-directory";
import { silentLog } from "../replication/silent-log";
import { targetRecord } from "./fixtures";

function createRecords() {
    const log = silentLog();
    const directory = createTestDirectory({ log });
    const decode = (_: string, bytes: Buffer) => ok(JSON.parse(bytes.toString()) as TargetRecord);
    return { directory, records: createTargetRecords({ decode, log, directory }) };
}

function encode(record: TargetRecord): KeyedRecord {
    return { key: record.id, value: Buffer.from(JSON.stringify(record)) };
}

describe("the target records and their copy for other instances", () => {
    // Guards against a starting instance that receives a leaving target as ready, because an older record arrived late at the
    // instance that it fetched the copy from.
    test("keeps the newest record of a target when an older one arrives late", () => {
        const sender = createRecords();
        sender.records.apply([encode(targetRecord(0, 80, { sequence: 9, draining: true }))], false);
        sender.records.apply([encode(targetRecord(0, 80, { sequence: 8 }))], false);
        const receiver = createRecords();
        receiver.records.apply(sender.records.all(), true);
        expect(sender.directory.serving("dossier")).toEqual([]);
        expect(receiver.directory.serving("dossier")).toEqual([]);
        expect(receiver.directory.get("target-0")).toMatchObject({ sequence: 9, draining: true });
    });

    // Guards against a late copy of a dropped target's record that restores the target on other instances.
    test("does not accept a dropped record again", () => {
        const { records } = createRecords();
        records.apply([encode(targetRecord(0, 80, { sequence: 4 }))], false);
        records.apply([{ key: "target-0", value: undefined }], false);
        records.apply([encode(targetRecord(0, 80, { sequence: 4 }))], false);
        expect(records.all()).toEqual([]);
    });

    // Guards against one record that keeps the others of its batch from being applied, and ends the process.
    test("applies the other records of a batch when decoding one throws", () => {
        const { directory, records } = createRecords();
        const odd = { key: "odd", value: Buffer.from("{") };
        records.apply([encode(targetRecord(0, 80)), odd, encode(targetRecord(1, 81))], true);
        expect(directory.serving("dossier").map(({ id }) => id)).toEqual(["target-0", "target-1"]);
    });
});
