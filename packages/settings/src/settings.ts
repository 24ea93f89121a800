import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { SettingsFailure } from "./settings-failure";
import { checkYaml } from "./yaml-document";

const port = z.number().int().min(1).max(65_535);
const listener = z.strictObject({
    address: z.string().min(1).default("127.0.0.1").describe("IP address to listen on."),
    port: port.describe("TCP port."),
});
const file = z.string().min(1);
const positiveMs = z.number().int().positive();

const certificate = {
    certificateFile: file.describe("Certificate chain (PEM)."),
    keyFile: file.describe("Private key (PEM)."),
};

const serviceSchema = z.strictObject({
    name: z.string().regex(/^[a-z0-9][a-z0-9_.-]{0,62}$/).describe("Name of the service, as in the routes."),
    floorFraction: z.number().gt(0).max(1).default(0.7)
        .describe("Minimum fraction of the healthy capacity that stays in use despite ejections."),
    connectionsPerTarget: z.number().int().positive().default(8)
        .describe(
            "Maximum number of connections from this instance to one target; at 8, 48 instances stay within 400.",
        ),
    slotsPerTarget: z.number().int().positive().default(6).describe(
        "Number of requests that a target processes concurrently.",
    ),
    defaultDeadlineMs: positiveMs.default(10_000).describe(
        "Deadline of a request that does not specify one, in milliseconds.",
    ),
    maxDeadlineMs: positiveMs.default(60_000).describe("Maximum deadline of a request, in milliseconds."),
}).refine(({ defaultDeadlineMs, maxDeadlineMs }) => defaultDeadlineMs <= maxDeadlineMs, {
    path: ["defaultDeadlineMs"],
    message: "is longer than maxDeadlineMs",
});

const membershipSchema = z.strictObject({
    pullIntervalMs: positiveMs.default(200).describe("Interval between two pulls of membership rows, in milliseconds."),
    pullPeers: z.number().int().positive().default(2).describe(
        "Number of peers from which rows are pulled concurrently.",
    ),
    pullTimeoutMs: positiveMs.default(500).describe("Timeout of one pull, in milliseconds."),
    leaseMs: positiveMs.default(1_500)
        .describe("Maximum age at which a row counts towards the lease, in milliseconds; the same on every instance."),
    fenceAfterMs: positiveMs.default(1_500)
        .describe(
            "Age of the last row above which an incarnation is fenced, in milliseconds; the same on every instance.",
        ),
    newMemberSeconds: z.number().positive().default(30)
        .describe("Time after which the rows of a newly listed member count, in seconds."),
    missingMemberSeconds: z.number().positive().default(30)
        .describe("Time for which a member that is no longer listed still counts, in seconds."),
}).refine(({ pullIntervalMs, leaseMs }) => pullIntervalMs * 3 <= leaseMs, {
    path: ["leaseMs"],
    message: "is shorter than three pull intervals; one lost pull would end the lease",
});

const tlsSchema = z.strictObject({
    callers: z.strictObject(certificate).optional().describe("TLS of the listener for callers."),
    inner: z.strictObject({
        ...certificate,
        authorityFile: file.describe("Certificates of the authority that signs every instance (PEM)."),
    }).optional().describe("Mutual TLS between the entry instances."),
    targets: z.strictObject({
        authorityFile: file.describe("Certificates of the authority that signs the targets (PEM)."),
        certificateFile: file.optional().describe("Client certificate chain (PEM)."),
        keyFile: file.optional().describe("Private key of the client certificate (PEM)."),
    }).optional().describe("TLS of the connections to the targets."),
});

/** Schema of the settings of an entry instance. */
export const settingsSchema = z.strictObject({
    instanceId: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/)
        .describe("Id of this instance in the platform's instance list."),
    domain: z.string().min(1).describe("Failure domain that this instance runs in."),
    listen: listener.describe("Listener for callers."),
    inner: listener.describe("Listener for the other entry instances and the operators' client."),
    logUrl: z.url().describe("Base URL of the platform's log service."),
    instanceListUrl: z.url().describe("Base URL of the platform's instance list."),
    services: z.array(serviceSchema).default([])
        .describe("Services whose settings differ from the defaults; the defaults apply to every other service."),
    drainSeconds: z.number().nonnegative().default(5)
        .describe("Time between reporting unready and rejecting new requests at a planned stop, in seconds."),
    snapshotMaxAgeSeconds: z.number().positive().default(1_800)
        .describe(
            "Age at which the snapshot is rewritten, in seconds; the default is half of the log's retention time.",
        ),
    baseline: z.enum(["none", "even-split", "own-evidence", "no-ejection"]).default("none")
        .describe("Replaces a decision of the fleet with a simpler algorithm; only for comparisons in experiments."),
    logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default("info")
        .describe("Minimum level of the log lines that are written."),
    membership: membershipSchema.prefault({}).describe("Membership protocol between the entry instances."),
    statsd: z.strictObject({
        host: z.string().min(1).describe("Host of the StatsD server."),
        port: port.default(8_125).describe("UDP port."),
    }).optional().describe("StatsD server that receives the metrics; without it, they stay in the process."),
    tls: tlsSchema.optional().describe("TLS files; without them, connections are unencrypted."),
}).superRefine(({ services, listen, inner }, context) => {
    const names = new Set<string>();
    services.forEach(({ name }, index) => {
        if (names.has(name)) {
            context.addIssue({ code: "custom", path: ["services", index, "name"], message: `${name} is listed twice` });
        }
        names.add(name);
    });
    if (listen.port === inner.port && listen.address === inner.address) {
        context.addIssue({
            code: "custom",
            path: ["inner", "port"],
            message: "is already used by the listener for callers",
        });
    }
});

/** Settings of an entry instance, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
/** Settings of a service, with defaults filled in. */
export type ServiceSettings = Settings["services"][number];

/** Returns the settings of a service, or the defaults if the service is not listed. */
export function serviceSettings(settings: Settings, name: string): ServiceSettings {
    return settings.services.find(service => service.name === name) ?? serviceSchema.parse({ name });
}

/** Reads and validates a settings file; the failure lists every error with its line. */
export function loadSettings(path: string): Result<Settings, SettingsFailure> {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch {
        return err(new SettingsFailure("settings_unreadable", `cannot read ${path}`, []));
    }
    return checkYaml(text, settingsSchema).match(
        ({ value }) => ok(value),
        issues => err(new SettingsFailure("settings_invalid", `${path} has ${issues.length} errors`, issues)),
    );
}
