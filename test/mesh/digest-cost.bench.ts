/**
 * CPU time that the digests of a fleet take at one instance, from decoding the datagrams to applying them.
 *
 * Run: npx esbuild test/mesh/digest-cost.bench.ts --bundle --platform=node --outfile=dist/digest-cost.js && node dist/digest-cost.js
 */

import { createVirtualClock } from "@trefoilladder/clock";
import { createLimitGroup, createSharedLimit } from "@trefoilladder/limits";
import { decodeBundle, encodeBundles, encodeDigest } from "@trefoilladder/mesh";
import type { Digest } from "@trefoilladder/mesh";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { createTestDirectory } from "../replication/create-test-directory";
import { silentLog } from "../replication/silent-log";

/** Size of a fleet and its load. */
interface FleetLoad {
    instances: number;
    targets: number;
    organisations: number;
    requestsPerSecond: number;
    digestIntervalMs: number;
    bundleIntervalMs: number;
    seconds: number;
}

const smallFleet: FleetLoad = {
    instances: 40,
    targets: 30,
    organisations: 8,
    requestsPerSecond: 134,
    digestIntervalMs: 200,
    bundleIntervalMs: 60,
    seconds: 40,
};

const largeFleet: FleetLoad = {
    instances: 132,
    targets: 255,
    organisations: 86,
    requestsPerSecond: 880,
    digestIntervalMs: 600,
    bundleIntervalMs: 60,
    seconds: 40,
};

function createInstanceState(load: FleetLoad, now: () => number) {
    const clock = createVirtualClock();
    const log = silentLog();
    const directory = createTestDirectory({ clock, log });
    for (let index = 0; index < load.targets; index++) {
        directory.put({
            id: `i-49d26d80${index}`,
            service: index % 2 === 0 ? "dossier" : "archive",
            address: "10.1.0.1",
            port: index,
            domain: "a",
            slots: 6,
            draining: false,
            coldMs: 0,
            startedAt: 1,
            sequence: 1,
        });
    }
    const group = createLimitGroup({ now, minChange: 1 });
    for (let index = 0; index < load.organisations; index++) {
        const limit = createSharedLimit({
            ratePerSecond: 20,
            burst: 20,
            now: 0,
            contactShare: 1,
            lastContactAt: group.lastContactAt,
        });
        group.add(`huka${index}`, limit);
    }
    const tracker = createTargetTracker({ directory, domain: "a", now, log, onUrgentChange: () => undefined });
    return { tracker, group };
}

function createDigest(load: FleetLoad, sender: number, round: number, random: () => number): Digest {
    const requests = Math.round(load.requestsPerSecond / load.instances * load.digestIntervalMs / 1_000);
    const pick = (count: number) => Math.floor(random() * count);
    return {
        sender: `10.1.0.${sender}:7660/a1b2c3d4e5f6`,
        leaving: false,
        probe: false,
        configurationVersion: 12,
        targetsOffset: 400,
        targets: Array.from({ length: requests }, () => ({
            target: `i-49d26d80${pick(load.targets)}`,
            outcomes: [[random() < 0.04 ? "failure" : "success", 1]],
            load: [pick(6), 0, 6],
        })),
        // Each total is sent in two digests.
        admitted: Array.from({ length: 2 * requests }, () => [`huka${pick(load.organisations)}`, round, 1]),
        retries: [["dossier", -round * 0.19, -0.19], ["archive", -round * 0.19, -0.19]],
        instances: ["10.1.0.7:7660", "10.1.0.9:7660"],
        domain: "a",
        targetsAgeMs: 250,
        storeOutageEndAgeMs: 60_000,
        configurationOffset: 4,
        configurationAgeMs: 90,
        linkMbps: 10,
        sequence: round,
        uptimeMs: 60_000,
        storeEra: 3,
        storeEraAgeMs: -1,
    };
}

function measure(load: FleetLoad): void {
    const source = createRandomSource(1);
    const random = () => source.next();
    let now = 0;
    const { tracker, group } = createInstanceState(load, () => now);
    const bundles = Math.floor(load.seconds * 1_000 / load.bundleIntervalMs);
    const digestsPerBundle = Math.round(load.instances * load.bundleIntervalMs / load.digestIntervalMs);
    let bytes = 0;
    let cpuUs = 0;
    for (let index = 0; index < bundles; index++) {
        now += load.bundleIntervalMs;
        const texts = Array.from({ length: digestsPerBundle }, (_, position) => {
            const sender = (index * digestsPerBundle + position) % load.instances;
            return encodeDigest(createDigest(load, sender, index, random)).toString();
        });
        const datagrams = encodeBundles(texts, false);
        bytes += datagrams.reduce((sum, datagram) => sum + datagram.length, 0);
        const before = process.cpuUsage();
        for (const datagram of datagrams) {
            for (const digest of decodeBundle(datagram)!.digests) {
                digest.targets.forEach(tracker.applyPeerDigest);
                group.applyPeerTotals(digest.sender, digest.admitted);
            }
        }
        const used = process.cpuUsage(before);
        cpuUs += used.user + used.system;
    }
    const digests = bundles * digestsPerBundle;
    process.stdout.write(`${
        JSON.stringify({
            instances: load.instances,
            digests: Math.round(digests),
            bytesPerDigest: Math.round(bytes / digests),
            usPerDigest: Math.round(cpuUs / digests),
            coreShare: Math.round(cpuUs / load.seconds / 10) / 1e5,
        })
    }\n`);
}

[smallFleet, largeFleet, { ...largeFleet, instances: 396, targets: 765, requestsPerSecond: 2_640 }].forEach(measure);
