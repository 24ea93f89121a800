// Measures the fold, the memory, the snapshot and the lookups at the expected future size. Run with:
// npx esbuild test/configuration/large-size.bench.ts --bundle --platform=node | node --expose-gc -
import {
    applyRecord,
    createConfiguration,
    createKey,
    findAuthorisation,
    findOpenRoute,
    parseSnapshot,
    renderSnapshot,
    renderSnapshotPieces,
    replaceConfiguration,
} from "@trefoilladder/configuration";
import type { Change } from "@trefoilladder/configuration";

const planCount = 290;
const openPlanCount = 10;
const routesPerPlan = 100;
const organisationCount = 170_000;
const changesPerEdit = 100;
const lookupCount = 100_000;

function heapMb(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed / 1e6;
}

function measure<Value>(name: string, run: () => Value): Value {
    const startedAt = performance.now();
    const value = run();
    console.log(`${name}: ${(performance.now() - startedAt).toFixed(0)} ms`);
    return value;
}

const keyTexts: string[] = [];
const changes: Change[] = [];
for (let plan = 0; plan < planCount; plan++) {
    changes.push({
        kind: "put-plan",
        revision: 0,
        plan: {
            name: `plan-${plan}`,
            open: plan < openPlanCount ? true : undefined,
            ratePerSecond: 10,
            burst: 20,
            routes: Array.from({ length: routesPerPlan }, (_, route) => ({
                name: `route-${route}`,
                service: `service-${route % 64}`,
                pathPrefix: `/plan-${plan}/route-${route}`,
                methods: ["GET" as const],
            })),
        },
    });
}
for (let organisation = 0; organisation < organisationCount; organisation++) {
    const name = `organisation-${organisation}`;
    const plan = `plan-${openPlanCount + organisation % (planCount - openPlanCount)}`;
    const created = createKey(name);
    if (organisation % 1_000 === 0) {
        keyTexts.push(created.text);
    }
    changes.push({ kind: "put-organisation", revision: 0, organisation: { name, plan } });
    changes.push({ kind: "create-key", key: created.key });
}
const records: string[] = [];
for (let index = 0; index < changes.length; index += changesPerEdit) {
    records.push(JSON.stringify({ id: `large-edit-${index}`, changes: changes.slice(index, index + changesPerEdit) }));
}
changes.length = 0;

const before = heapMb();
const configuration = createConfiguration();
measure(`fold of ${records.length} records with ${changesPerEdit} changes each`, () => {
    records.forEach((text, offset) => applyRecord(configuration, { offset, value: JSON.parse(text) }));
});
console.log(`accepted: ${[...configuration.verdicts.values()].every(({ code }) => code === "accepted")}`);
console.log(`heap of the configuration: ${(heapMb() - before).toFixed(0)} MB`);
const text = measure("render of the snapshot", () => renderSnapshot(configuration));
let longest = 0;
for (const pieces = renderSnapshotPieces(configuration);;) {
    const startedAt = performance.now();
    const done = pieces.next().done;
    longest = Math.max(longest, performance.now() - startedAt);
    if (done === true) {
        break;
    }
}
console.log(`longest piece of the render: ${longest.toFixed(0)} ms`);
console.log(`snapshot: ${(text.length / 1e6).toFixed(1)} MB`);
const content = measure("parse of the snapshot", () => parseSnapshot(text)._unsafeUnwrap());
measure("installation of the snapshot", () => replaceConfiguration(createConfiguration(), content));
const found = measure(`${lookupCount} authorisations`, () => {
    let count = 0;
    for (let index = 0; index < lookupCount; index++) {
        count += findAuthorisation(configuration, keyTexts[index % keyTexts.length]!) === undefined ? 0 : 1;
    }
    return count;
});
const open = measure(`${lookupCount} open routes`, () => {
    let count = 0;
    for (let index = 0; index < lookupCount; index++) {
        const path = `/plan-${index % openPlanCount}/route-${index % routesPerPlan}/42`;
        count += findOpenRoute(configuration, "GET", path) === undefined ? 0 : 1;
    }
    return count;
});
console.log(`found: ${found} and ${open}`);
