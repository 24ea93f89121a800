import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";

/** Settings of a gateway process. */
export interface GatewaySettings {
    instance: string;
    domain: string;
    /** Regions by failure domain. Restrictions to regions allow no target in a domain that is absent here. */
    regions?: Readonly<Record<string, string>> | null;
    /** IP address of this instance. */
    address: string;
    /** Addresses with ports of the listeners for callers, for the load balancer's readiness checks and for other instances. */
    callers: string;
    readiness: string;
    peers: string;
    /** UDP port of the mesh, the same on all instances. */
    meshPort: number;
    /** Bandwidth of this instance's link in megabits per second. Instances with high bandwidth relay for the others. */
    linkMbps: number;
    /** Addresses with ports of instances to contact before the store responds; they may be outdated. */
    seeds: readonly string[];
    /** IP address and port of the store. */
    store: string;
    metrics: { port: number; path: string; };
    /** Time in seconds from the stop request until the process is killed. */
    stopSeconds: number;
    /** Fleet-wide budget of retries for each service: retries per request, and a reserve beyond that ratio. */
    budget: { ratio: number; reserve: number; };
    logLevel: "debug" | "info" | "warn" | "error";
    /** Memory of the machine in megabytes; a default applies when it is absent. */
    memoryMb?: number;
    /** Largest number of descriptors that the process may open; a default applies when it is absent. */
    maxDescriptors?: number;
    /** Whether targets are chosen and requests admitted by expected work; false when absent. */
    expectedWork?: boolean;
}

/** Settings that are missing or have the wrong type. */
export class InvalidSettings extends Failure<"invalid_settings"> {
    constructor(readonly problems: readonly string[], cause?: Error) {
        super("invalid_settings", `invalid settings: ${problems.join("; ")}`, { cause });
    }
}

type Check = (value: unknown) => boolean;

const isNonEmptyString: Check = value => typeof value === "string" && value !== "";
const isAddress: Check = value => typeof value === "string" && /^[\d.]+:\d{1,5}$/.test(value);
const isNumber: Check = value => typeof value === "number" && Number.isFinite(value) && value >= 0;
const isPositiveOrAbsent: Check = value => value === undefined || isNumber(value) && value !== 0;
const isPort: Check = value => Number.isInteger(value) && (value as number) > 0 && (value as number) < 65_536;
const isOptionalBoolean: Check = value => value === undefined || typeof value === "boolean";
const isLevel: Check = value => ["debug", "info", "warn", "error"].includes(value as string);

/** Accepts a table of strings; the setting may be absent, as in the files of earlier versions. */
const isOptionalTable: Check = value =>
    value === undefined || value === null
    || typeof value === "object" && !Array.isArray(value) && Object.values(value).every(isNonEmptyString);

/** Expected type of each setting, by its path. */
const checks: Record<string, { check: Check; expected: string; }> = {
    "instance": { check: isNonEmptyString, expected: "a non-empty string" },
    "domain": { check: isNonEmptyString, expected: "a non-empty string" },
    "regions": { check: isOptionalTable, expected: "an object with the region of each failure domain" },
    "address": { check: isNonEmptyString, expected: "an IP address" },
    "callers": { check: isAddress, expected: "an IP address and a port" },
    "readiness": { check: isAddress, expected: "an IP address and a port" },
    "peers": { check: isAddress, expected: "an IP address and a port" },
    "meshPort": { check: isPort, expected: "a port" },
    "linkMbps": { check: isNumber, expected: "a number of megabits per second" },
    "seeds": {
        check: value => Array.isArray(value) && value.every(isAddress),
        expected: "a list of addresses with ports",
    },
    "store": { check: isAddress, expected: "an IP address and a port" },
    "metrics.port": { check: isPort, expected: "a port" },
    "metrics.path": { check: isNonEmptyString, expected: "a path" },
    "stopSeconds": { check: isNumber, expected: "a number of seconds" },
    "budget.ratio": { check: isNumber, expected: "a number of 0 or more" },
    "budget.reserve": { check: isNumber, expected: "a number of 0 or more" },
    "memoryMb": { check: isPositiveOrAbsent, expected: "a number of megabytes above 0" },
    "maxDescriptors": { check: isPositiveOrAbsent, expected: "a number above 0" },
    "logLevel": { check: isLevel, expected: "debug, info, warn or error" },
    "expectedWork": { check: isOptionalBoolean, expected: "true or false" },
};

function valueAt(document: unknown, path: string): unknown {
    return path.split(".").reduce<unknown>(
        (value, name) => (value as Record<string, unknown> | null)?.[name],
        document,
    );
}

/** Validates settings; the error names every invalid setting by its path. */
export function checkSettings(document: unknown): Result<GatewaySettings, InvalidSettings> {
    if (typeof document !== "object" || document === null) {
        return err(new InvalidSettings(["the document is not an object"]));
    }
    const problems = Object.entries(checks)
        .filter(([path, { check }]) => !check(valueAt(document, path)))
        .map(([path, { expected }]) => `${path} is not ${expected}`);
    return problems.length === 0 ? ok(document as GatewaySettings) : err(new InvalidSettings(problems));
}

/**
 * Reads the settings file. It is JSON, which is valid YAML: the deployment template writes it in this form, and a YAML parser
 * would use memory in every process.
 */
export function readSettings(path: string): Result<GatewaySettings, InvalidSettings> {
    try {
        return checkSettings(JSON.parse(readFileSync(path, "utf8")));
    }
    catch (error) {
        return err(new InvalidSettings([`${path} cannot be read`], error as Error));
    }
}
