import {
    applyRecord,
    createConfiguration,
    parseSnapshot,
    renderSnapshot,
    replaceConfiguration,
} from "@trefoilladder/configuration";
import type { Change, Configuration, Edit } from "@trefoilladder/configuration";
import fc from "fast-check";
import { createPlan, putPlan } from "./edits";

const planName = fc.constantFrom("standard", "large", "public");
const organisation = fc.constantFrom("laurel", "vipimo", "mosi");
const keyId = fc.constantFrom("aaaaaaaa", "bbbbbbbb", "cccccccc");
const revision = fc.integer({ min: 0, max: 12 });
const change: fc.Arbitrary<Change> = fc.oneof(
    fc.record({
        kind: fc.constant("put-plan" as const),
        revision,
        plan: fc.record({ name: planName, open: fc.boolean(), ratePerSecond: fc.integer({ min: 1, max: 9 }) })
            .map(({ name, ...options }) => createPlan(name, options)),
    }),
    fc.record({ kind: fc.constant("delete-plan" as const), revision, name: planName }),
    fc.record({
        kind: fc.constant("put-organisation" as const),
        revision,
        organisation: fc.record({ name: organisation, plan: planName }),
    }),
    fc.record({ kind: fc.constant("delete-organisation" as const), revision, name: organisation }),
    fc.record({
        kind: fc.constant("create-key" as const),
        key: fc.record({ id: keyId, organisation, secretHash: fc.constant("0".repeat(64)) }),
    }),
    fc.record({ kind: fc.constant("revoke-key" as const), id: keyId }),
);
const edits = fc.array(fc.array(change, { minLength: 1, maxLength: 4 }), { maxLength: 12 })
    .map(changeLists => changeLists.map((changes, index): Edit => ({ id: `edit-${index}-id`, changes })));
/** Stream to which concurrent operators append edits in any order, with duplicates at any later offset. */
const stream = edits.chain(list =>
    fc.array(fc.nat({ max: Math.max(0, list.length - 1) }), { maxLength: 40 })
        .map(order => list.length === 0 ? [] : order.map((index, offset) => ({ offset, value: list[index]! })))
);

function fold(configuration: Configuration, records: readonly { offset: number; value: unknown; }[]): Configuration {
    records.forEach(record => applyRecord(configuration, record));
    return configuration;
}

function restore(text: string): Configuration {
    const configuration = createConfiguration();
    replaceConfiguration(configuration, parseSnapshot(text)._unsafeUnwrap());
    return configuration;
}

describe("fold of the configuration stream", () => {
    it("yields the same state from a snapshot and the later records as from all records", () => {
        fc.assert(
            fc.property(stream, fc.nat(), (records, randomOffset) => {
                const splitOffset = records.length === 0 ? 0 : randomOffset % records.length;
                const full = fold(createConfiguration(), records);
                const resumed = fold(
                    restore(renderSnapshot(fold(createConfiguration(), records.slice(0, splitOffset)))),
                    records,
                );
                expect(renderSnapshot(resumed)).toBe(renderSnapshot(full));
                expect(resumed.index).toEqual(full.index);
            }),
            { numRuns: 500 },
        );
    });

    it("changes neither verdicts nor state for a duplicate append", () => {
        fc.assert(
            fc.property(stream, records => {
                const full = fold(createConfiguration(), records);
                const ids = new Set<string>();
                const firstRecords = records.filter(({ value }) => ids.size < ids.add(value.id).size);
                const withoutDuplicates = createConfiguration();
                firstRecords.forEach(record => applyRecord(withoutDuplicates, record));
                expect([...withoutDuplicates.verdicts]).toEqual([...full.verdicts]);
                expect([...withoutDuplicates.keys]).toEqual([...full.keys]);
                expect([...withoutDuplicates.plans]).toEqual([...full.plans]);
            }),
            { numRuns: 500 },
        );
    });

    it("reverts no edit on a redelivered record or an older snapshot", () => {
        fc.assert(fc.property(stream, fc.nat(), (records, randomOffset) => {
            const older = fold(createConfiguration(), records.slice(0, randomOffset % (records.length + 1)));
            const full = fold(createConfiguration(), records);
            const before = renderSnapshot(full);
            replaceConfiguration(full, parseSnapshot(renderSnapshot(older))._unsafeUnwrap());
            expect(renderSnapshot(full)).toBe(before);
            expect(renderSnapshot(fold(full, records))).toBe(before);
        }));
    });

    it("changes nothing for an edit that is not accepted", () => {
        fc.assert(
            fc.property(stream, records => {
                const configuration = createConfiguration();
                const content = () => {
                    const { plans, organisations, keys, index } = configuration;
                    return JSON.stringify([...plans, ...organisations, ...keys, ...index.keysByOrganisation].sort());
                };
                for (const record of records) {
                    const before = content();
                    const isDuplicate = configuration.verdicts.has(record.value.id);
                    if (applyRecord(configuration, record)?.code !== "accepted" || isDuplicate) {
                        expect(content()).toBe(before);
                    }
                }
            }),
            { numRuns: 500 },
        );
    });

    it("does not create a revoked key again for a late duplicate whose verdict was evicted", () => {
        const configuration = createConfiguration();
        const key = { id: "aaaaaaaa", organisation: "laurel", secretHash: "0".repeat(64) };
        const create: Edit = { id: "create-key-1", baseOffset: 1, changes: [{ kind: "create-key", key }] };
        const records: unknown[] = [
            {
                id: "lists-edit",
                changes: [
                    { kind: "put-plan", revision: 0, plan: createPlan("standard") },
                    { kind: "put-organisation", revision: 0, organisation: { name: "laurel", plan: "standard" } },
                ],
            },
            create,
            { id: "revoke-key-1", changes: [{ kind: "revoke-key", id: key.id }] },
            ...Array.from({ length: 10_001 }, (_, index) => putPlan(`later-edit-${index}`, 99, createPlan("large"))),
            create,
        ];
        const verdicts = records.map((value, offset) => applyRecord(configuration, { offset, value }));
        expect(verdicts[1]).toMatchObject({ code: "accepted" });
        expect(verdicts.at(-1)).toMatchObject({ code: "invalid" });
        expect(configuration.keys.size).toBe(0);
    });
});
