import type { KeyedRecord } from "@trefoilladder/replication";
import type { TargetRecord } from "@trefoilladder/serving";
import { ok } from "neverthrow";
import { createTargetRecords } from "../../packages/gateway/src/target-records";
import { openDirectory } from "../replication/open-directory";
import { silentLog } from "../replication/silent-log";
import { targetRecord } from "./fixtures";

function openRecords() {
    const log = silentLog();
    const directory = openDirectory({ log });
    const decode = (_: string, bytes: Buffer) => ok(JSON.parse(bytes.toString()) as TargetRecord);
    return { directory, records: createTargetRecords({ decode, log, directory }) };
}

function encode(record: TargetRecord): KeyedRecord {
    return { key: record.id, value: Buffer.from(JSON.stringify(record)) };
}

describe("the copy of the targets' records for other instances", () => {
    // Guards against a target that leaves and is handed on as ready to an instance that starts, since an older record came late.
    test("keeps the newest record of a target when an older one comes late", () => {
        const giver = openRecords();
        giver.records.apply([encode(targetRecord(0, 80, { sequence: 9, draining: true }))], false);
        giver.records.apply([encode(targetRecord(0, 80, { sequence: 8 }))], false);
        const starter = openRecords();
        starter.records.apply(giver.records.all(), true);
        expect(giver.directory.serving("dossier")).toEqual([]);
        expect(starter.directory.serving("dossier")).toEqual([]);
        expect(starter.directory.get("target-0")).toMatchObject({ sequence: 9, draining: true });
    });

    // Guards against a dropped target that a late copy of its record brings back at others.
    test("does not take a dropped record again", () => {
        const { records } = openRecords();
        records.apply([encode(targetRecord(0, 80, { sequence: 4 }))], false);
        records.apply([{ key: "target-0", value: undefined }], false);
        records.apply([encode(targetRecord(0, 80, { sequence: 4 }))], false);
        expect(records.all()).toEqual([]);
    });
});
