import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";

/** Settings of a gateway process. */
export interface GatewaySettings {
    instance: string;
    domain: string;
    /** IP address of this instance. */
    address: string;
    /** Addresses with ports on which callers, the balancer's readiness checks and other instances are served. */
    callers: string;
    readiness: string;
    peers: string;
    /** UDP port of the mesh, the same on all instances. */
    meshPort: number;
    /** Bandwidth of this instance's link in megabits a second. Instances with wide links relay for the others. */
    linkMbps: number;
    /** Addresses of instances that may be known before the store answers; they may be out of date. */
    seeds: readonly string[];
    store: string;
    metrics: { port: number; path: string; };
    /** Time from the request to stop until the process is killed, in seconds. */
    stopSeconds: number;
    /** Fleet-wide budget of further attempts. */
    budget: { ratio: number; reserve: number; };
    logLevel: "debug" | "info" | "warn" | "error";
}

/** Settings that are missing or have another form. */
export class InvalidSettings extends Failure<"invalid_settings"> {
    constructor(readonly problems: readonly string[], cause?: Error) {
        super("invalid_settings", `the settings are not valid: ${problems.join("; ")}`, { cause });
    }
}

type Check = (value: unknown) => boolean;

const isText: Check = value => typeof value === "string" && value !== "";
const isAddress: Check = value => typeof value === "string" && /^[\d.]+:\d{1,5}$/.test(value);
const isNumber: Check = value => typeof value === "number" && Number.isFinite(value) && value >= 0;
const isPort: Check = value => Number.isInteger(value) && (value as number) > 0 && (value as number) < 65_536;
const isLevel: Check = value => ["debug", "info", "warn", "error"].includes(value as string);

/** What each setting must be, by its path. */
const checks: Record<string, { check: Check; kind: string; }> = {
    "instance": { check: isText, kind: "a text" },
    "domain": { check: isText, kind: "a text" },
    "address": { check: isText, kind: "an IP address" },
    "callers": { check: isAddress, kind: "an IP address and a port" },
    "readiness": { check: isAddress, kind: "an IP address and a port" },
    "peers": { check: isAddress, kind: "an IP address and a port" },
    "meshPort": { check: isPort, kind: "a port" },
    "linkMbps": { check: isNumber, kind: "a number of megabits a second" },
    "seeds": { check: value => Array.isArray(value) && value.every(isAddress), kind: "a list of addresses with ports" },
    "store": { check: isAddress, kind: "an IP address and a port" },
    "metrics.port": { check: isPort, kind: "a port" },
    "metrics.path": { check: isText, kind: "a path" },
    "stopSeconds": { check: isNumber, kind: "a number of seconds" },
    "budget.ratio": { check: isNumber, kind: "a number of 0 or more" },
    "budget.reserve": { check: isNumber, kind: "a number of 0 or more" },
    "logLevel": { check: isLevel, kind: "debug, info, warn or error" },
};

function valueAt(document: unknown, path: string): unknown {
    return path.split(".").reduce<unknown>(
        (value, name) => (value as Record<string, unknown> | null)?.[name],
        document,
    );
}

/** Checks settings; every mistake is named with its path. */
export function checkSettings(document: unknown): Result<GatewaySettings, InvalidSettings> {
    if (typeof document !== "object" || document === null) {
        return err(new InvalidSettings(["the document is no map"]));
    }
    const problems = Object.entries(checks)
        .filter(([path, { check }]) => !check(valueAt(document, path)))
        .map(([path, { kind }]) => `${path} is not ${kind}`);
    return problems.length === 0 ? ok(document as GatewaySettings) : err(new InvalidSettings(problems));
}

/**
 * Reads the settings file. It is YAML in its JSON form, since the deploy template writes it so and a YAML parser would
 * take memory in every process.
 */
export function readSettings(path: string): Result<GatewaySettings, InvalidSettings> {
    try {
        return checkSettings(JSON.parse(readFileSync(path, "utf8")));
    }
    catch (error) {
        return err(new InvalidSettings([`${path} cannot be read`], error as Error));
    }
}
