import type { KeyedRecord } from "@trefoilladder/replication";
import { createEvacuations } from "../../packages/gateway/src/evacuations";
import type { EvacuationPolicy } from "../../packages/gateway/src/evacuations";
import { silentLog } from "../replication/silent-log";

const begin = (domain: string): KeyedRecord => ({ key: `evacuate/${domain}`, value: Buffer.from("{}") });
const revoke = (domain: string): KeyedRecord => ({ key: `evacuate/${domain}`, value: undefined });

function create(policy?: EvacuationPolicy) {
    const changes: string[] = [];
    const evacuations = createEvacuations({
        keyPrefix: "evacuate/",
        log: silentLog(),
        began: domain => changes.push(`+${domain}`),
        ended: domain => changes.push(`-${domain}`),
        ...policy === undefined ? {} : { policy },
    });
    return { evacuations, changes };
}

describe("evacuations", () => {
    // Guards against an evacuation that is revoked and ordered again in one batch, with the last record not deciding.
    test("follow the last record of each failure domain", () => {
        const { evacuations, changes } = create();
        evacuations.apply([begin("a"), begin("b"), revoke("a")], false, "store");
        evacuations.apply([revoke("b"), begin("b")], false, "store");
        expect([...evacuations.inForce()]).toEqual(["b"]);
        expect(changes).toEqual(["+b"]);
    });

    // Guards against an evacuation that lasts for ever at an instance that missed its revocation.
    test("end with a snapshot without their record, and with no other batch", () => {
        const { evacuations } = create();
        evacuations.apply([begin("a")], true, "store");
        evacuations.apply([{ key: "config", value: Buffer.from("{}") }], false, "store");
        expect([...evacuations.inForce()]).toEqual(["a"]);
        evacuations.apply([{ key: "config", value: Buffer.from("{}") }], true, "peer");
        expect([...evacuations.inForce()]).toEqual([]);
    });

    // Guards against copies for other instances that lack an evacuation or carry other records.
    test("return their records as the stream holds them", () => {
        const { evacuations } = create();
        evacuations.apply([begin("a"), begin("b"), revoke("a"), { key: "config", value: Buffer.from("1") }], true, "x");
        expect(evacuations.records()).toEqual([begin("b")]);
    });

    test("ignore a key without a failure domain", () => {
        const { evacuations, changes } = create();
        evacuations.apply([begin("")], false, "store");
        expect(changes).toEqual([]);
    });

    // Guards against a policy that holds a snapshot back and loses what the snapshot says.
    test("are held by a policy until it lets the records decide", () => {
        let isHeld = true;
        const { evacuations, changes } = create(({ recorded, inForce }) => isHeld ? new Set(inForce) : recorded);
        evacuations.apply([begin("a")], true, "store");
        expect(changes).toEqual([]);
        isHeld = false;
        evacuations.enforce("settled");
        expect(changes).toEqual(["+a"]);
    });
});
