import { createVirtualClock } from "@trefoilladder/clock";
import { createEraSettlement, eraSettleMs } from "@trefoilladder/replication";
import type { KeyedRecord } from "@trefoilladder/replication";
import { createEvacuations } from "../../packages/gateway/src/evacuations";
import { silentLog } from "../replication/silent-log";

const begin = (domain: string): KeyedRecord => ({ key: `evacuate/${domain}`, value: Buffer.from("{}") });
const revoke = (domain: string): KeyedRecord => ({ key: `evacuate/${domain}`, value: undefined });

/** Creates evacuations behind the settlement that decides which records are in force, as the streams do. */
function create() {
    const clock = createVirtualClock();
    const era = { current: 1, roseAt: -Infinity };
    const changes: string[] = [];
    const settlement = createEraSettlement({ now: () => clock.now(), era });
    const evacuations = createEvacuations({
        keyPrefix: "evacuate/",
        log: silentLog(),
        began: domain => changes.push(`+${domain}`),
        ended: domain => changes.push(`-${domain}`),
    });
    return {
        clock,
        changes,
        evacuated: () => [...evacuations.inForce()],
        copied: () => settlement.logged(),
        apply: (records: readonly KeyedRecord[], isSnapshot: boolean) =>
            evacuations.apply(settlement.accept(records, isSnapshot), "store"),
        settle: () => evacuations.apply(settlement.settle(), "era_settled"),
        restoreStore() {
            era.current += 1;
            era.roseAt = clock.now();
        },
    };
}

describe("evacuations", () => {
    // Guards against an evacuation that is revoked and ordered again in one batch, with the last record not deciding.
    test("follow the last record of each failure domain", () => {
        const { apply, evacuated, changes } = create();
        apply([begin("a"), begin("b"), revoke("a")], false);
        apply([revoke("b"), begin("b")], false);
        expect(evacuated()).toEqual(["b"]);
        expect(changes).toEqual(["+b"]);
    });

    // Guards against an evacuation that lasts for ever at an instance that missed its revocation.
    test("end with a snapshot without their record, and with no other batch", () => {
        const { apply, evacuated } = create();
        apply([begin("a")], true);
        apply([], false);
        expect(evacuated()).toEqual(["a"]);
        apply([], true);
        expect(evacuated()).toEqual([]);
    });

    // Guards against copies for other instances that lack an evacuation or carry a revoked one.
    test("are copied as the log of the stream holds them", () => {
        const { apply, copied } = create();
        apply([begin("a"), begin("b")], true);
        apply([revoke("a")], false);
        expect(copied()).toEqual([begin("b")]);
    });

    test("ignore a key without a failure domain", () => {
        const { apply, changes } = create();
        apply([begin("")], false);
        expect(changes).toEqual([]);
    });

    // Guards against requests to an evacuated failure domain, and against a revoked evacuation that comes back, because the store was
    // restored from a copy that lacks the newest records.
    test("stay as they are in the snapshot of a restored store until its writers have had the time to write again", async () => {
        const { apply, settle, restoreStore, evacuated, clock } = create();
        apply([begin("a"), begin("b")], true);
        apply([revoke("b")], false);
        restoreStore();
        apply([begin("b")], true);
        settle();
        expect(evacuated()).toEqual(["a"]);
        apply([revoke("b")], false);
        expect(evacuated()).toEqual(["a"]);
        await clock.advance(eraSettleMs);
        settle();
        expect(evacuated()).toEqual([]);
    });

    test("begin at once in a new era with a record that its log holds after the snapshot", () => {
        const { apply, restoreStore, evacuated } = create();
        apply([], true);
        restoreStore();
        apply([], true);
        apply([begin("a")], false);
        expect(evacuated()).toEqual(["a"]);
    });
});
