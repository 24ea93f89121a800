import { createKey } from "@trefoilladder/configuration";
import { createTelemetry, decodeHistogram, encodeHistograms, mergeHistograms } from "@trefoilladder/telemetry";
import type { Telemetry } from "@trefoilladder/telemetry";
import { createSocket } from "node:dgram";
import { once } from "node:events";

let lines: string[] = [];
beforeEach(() => {
    lines = [];
    for (const method of ["info", "warn"] as const) {
        jest.spyOn(console, method).mockImplementation((...args: unknown[]) => void lines.push(String(args[0])));
    }
});
afterEach(() => jest.restoreAllMocks());

/** Passes a text in every place where the interface accepts one. */
function writeEverywhere(telemetry: Telemetry, text: string): void {
    telemetry.count("requests", { organisation: text, detail: `Bearer ${text}` });
    telemetry.gauge("level", 1, { key: text });
    telemetry.recordDuration(text, "idempotent", 5);
    telemetry.stateChange("key_seen", { key: text, header: `authorization: Bearer ${text}` });
    telemetry.fault("bad_key", { message: `cannot parse\n${text}`, [text]: true });
}

describe("telemetry", () => {
    it("writes no key secret to log lines, counters, histograms or StatsD packets", async () => {
        const server = createSocket("udp4");
        const packets: string[] = [];
        server.on("message", packet => packets.push(packet.toString()));
        server.bind(0, "127.0.0.1");
        await once(server, "listening");
        const telemetry = createTelemetry({
            instance: "secrets",
            statsd: { host: "127.0.0.1", port: server.address().port },
        });
        const created = Array.from({ length: 50 }, () => createKey("laurel"));
        const secrets = created.map(({ text }) => text.slice(text.indexOf("_", 3) + 1));
        created.forEach(({ text }) => writeEverywhere(telemetry, text));
        secrets.forEach(secret => writeEverywhere(telemetry, secret));
        telemetry.close();
        while (packets.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const written = [
            ...lines,
            ...packets,
            JSON.stringify(telemetry.metricValues()),
            JSON.stringify([...telemetry.histograms().keys()]),
        ].join("\n");
        expect(lines).toHaveLength(200);
        expect(secrets.filter(secret => written.includes(secret))).toEqual([]);
        // The id is not redacted, because it is needed to revoke the key.
        expect(lines[0]).toContain(`tl_${created[0]!.key.id}_[redacted]`);
        server.close();
    });

    it("bounds the memory and the number of series for many organisations", () => {
        const telemetry = createTelemetry({ instance: "cardinality", level: "silent" });
        for (let index = 0; index < 5_000; index++) {
            telemetry.count("requests", { organisation: `organisation-${index}` });
            telemetry.recordDuration(`organisation-${index}`, "idempotent", 1);
        }
        const values = telemetry.metricValues();
        expect(Object.keys(values)).toHaveLength(1_001);
        expect(values["requests{organisation=other}"]).toBe(4_000);
        expect(telemetry.histograms().size).toBe(1_001);
        expect(telemetry.histograms().get("other/idempotent")?.totalCount).toBe(4_000);
    });

    it("counts tags in a different order in one series", () => {
        const telemetry = createTelemetry({ instance: "order", level: "silent" });
        telemetry.count("requests", { a: "1", b: "2" });
        telemetry.count("requests", { b: "2", a: "1" });
        expect(telemetry.metricValues()).toEqual({ "requests{a=1,b=2}": 2 });
    });

    it("preserves durations when histograms are encoded, decoded and merged, as in the operators' client", () => {
        const telemetry = createTelemetry({ instance: "durations", level: "silent" });
        [1, 2, 1_000].forEach(ms => telemetry.recordDuration("laurel", "idempotent", ms));
        const encoded = Object.entries(encodeHistograms(telemetry.histograms()));
        const decoded = [...encoded, ...encoded].map(([name, text]) => [name, decodeHistogram(text)] as const);
        const merged = mergeHistograms(decoded).get("laurel/idempotent")!;
        expect(merged.totalCount).toBe(6);
        expect(merged.maxValue / 1_000_000).toBeCloseTo(1, 1);
    });
});
