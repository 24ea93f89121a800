import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** Load that a target reported and the outcomes of attempts at it. */
export interface TargetDigest {
    target: string;
    /** Outcomes and their counts since the previous digest. */
    outcomes: [outcome: string, count: number][];
    /** Latest load report: running requests, waiting requests, slots. */
    load: [running: number, waiting: number, slots: number] | undefined;
}

/** Running total by name, with its increment since the sender last sent it. */
export type RunningTotal = [name: string, total: number, increment: number];

/** State that one instance sends to all others in one datagram. */
export interface Digest {
    /** Address and incarnation of the sender. */
    sender: string;
    /** Whether the sender is shutting down and no longer counts as an instance. */
    leaving: boolean;
    /** Whether the sender requests a response that lists the known instances. */
    probe: boolean;
    configurationVersion: number;
    /** Offset up to which the sender has applied the targets' records. */
    targetsOffset: number;
    targets: TargetDigest[];
    /** Running totals of admitted requests by organisation. */
    admitted: RunningTotal[];
    /** Running totals of retries, less the retry budget that requests earned, by service. */
    retries: RunningTotal[];
    /** Addresses of some known instances; of all of them in the response to a probe. */
    instances: string[];
    /** Failure domain of the sender. */
    domain: string;
    /**
     * Age in milliseconds of the store's last response to the sender about the targets' records; -1 while the store does not
     * respond to it.
     */
    targetsAgeMs: number;
    /** Offset up to which the sender has applied the configuration's records, and the corresponding age for them. */
    configurationOffset: number;
    configurationAgeMs: number;
    /** Bandwidth of the sender's link in megabits per second; 0 when unknown. */
    linkMbps: number;
    /** Time in milliseconds since the store was last unavailable to all instances; -1 while unknown to the sender. */
    storeOutageEndAgeMs: number;
    /** Sequence number of the digest within the sender's incarnation. */
    sequence: number;
    /**
     * Time in milliseconds since the sender started or was last paused; -1 from instances of earlier versions, which own no
     * limits.
     */
    uptimeMs: number;
    /** Era of the store to which the offsets belong; -1 while unknown, and from instances of earlier versions. */
    storeEra: number;
    /** Time in milliseconds since that era began; -1 while unknown. */
    storeEraAgeMs: number;
}

/**
 * Returns the part of a digest that remains valid when a later one of the same sender has arrived before it: the outcomes.
 * The later digest supersedes its totals, offsets and ages.
 */
export function withoutState(digest: Digest): Digest {
    return { ...digest, admitted: [], retries: [], targetsAgeMs: -1, configurationAgeMs: -1 };
}

/** A datagram that is not a digest. */
export class MalformedDigest extends Failure<"malformed_digest"> {
    constructor(cause?: Error) {
        super("malformed_digest", "the datagram is not a digest in a supported format", { cause });
    }
}

/**
 * Formats, the first element of each digest. Digests are JSON because the runtime parses it in a tenth of the CPU time of a
 * decoder written in JavaScript. A digest to forward differs from a final one in this digit only.
 */
const finalFormat = 2;
const forwardFormat = 3;
/** Position of the format's digit in the datagram. */
const formatPosition = 1;
const digitZero = "0".charCodeAt(0);
/** Rounds totals to thousandths; totals of retries are fractions, since each request earns a part of a retry. */
const totalRoundingFactor = 1_000;

function roundTotal(total: number): number {
    return Math.round(total * totalRoundingFactor) / totalRoundingFactor;
}

/** Encodes a digest as an array, since field names would take half of each datagram. */
export function encodeDigest(digest: Digest): Buffer {
    const retries = digest.retries
        .map(([service, total, increment]) => [service, roundTotal(total), roundTotal(increment)]);
    return Buffer.from(JSON.stringify([
        finalFormat,
        digest.sender,
        digest.leaving,
        digest.probe,
        digest.configurationVersion,
        digest.targetsOffset,
        digest.targets.map(({ target, outcomes, load }) => [target, outcomes, load ?? null]),
        digest.admitted,
        digest.instances,
        retries,
        digest.domain,
        digest.targetsAgeMs,
        digest.configurationOffset,
        digest.configurationAgeMs,
        digest.linkMbps,
        digest.sequence,
        digest.storeOutageEndAgeMs,
        digest.uptimeMs,
        digest.storeEra,
        digest.storeEraAgeMs,
    ]));
}

/** Returns the encoded digest with the request that its receiver forwards it to all instances. */
export function markForForwarding(digest: Buffer): Buffer {
    return withFormat(digest, forwardFormat);
}

/** Returns the text of a digest to forward, in the final format; undefined when the datagram does not request it. */
export function forwardableText(datagram: Buffer): string | undefined {
    return datagram[formatPosition] === digitZero + forwardFormat
        ? withFormat(datagram, finalFormat).toString()
        : undefined;
}

function withFormat(digest: Buffer, format: number): Buffer {
    const changed = Buffer.from(digest);
    changed[formatPosition] = digitZero + format;
    return changed;
}

function parseFields(bytes: Buffer): Result<unknown[], MalformedDigest> {
    try {
        const fields: unknown = JSON.parse(bytes.toString("utf8"));
        return Array.isArray(fields) ? ok(fields as unknown[]) : err(new MalformedDigest());
    }
    catch (error) {
        return err(new MalformedDigest(error as Error));
    }
}

function isPairList(value: unknown): value is [string, number][] {
    return Array.isArray(value)
        && value.every(pair => Array.isArray(pair) && typeof pair[0] === "string" && Number.isFinite(pair[1]));
}

/** Reads totals; instances of an earlier version do not send the increment. */
function readTotals(value: unknown): RunningTotal[] | undefined {
    if (!isPairList(value)) {
        return undefined;
    }
    const rows = value as unknown[][];
    const isValid = rows.every(row => row.length < 3 || Number.isFinite(row[2]));
    return isValid
        ? rows.map(([name, total, increment]) => [name as string, total as number, (increment ?? 0) as number])
        : undefined;
}

function isLoad(value: unknown): value is TargetDigest["load"] | null {
    return value === null || Array.isArray(value) && value.length === 3 && value.every(Number.isFinite);
}

function readTargets(value: unknown): TargetDigest[] | undefined {
    if (!Array.isArray(value)) {
        return undefined;
    }
    const targets: TargetDigest[] = [];
    for (const row of value) {
        if (!Array.isArray(row) || typeof row[0] !== "string" || !isPairList(row[1]) || !isLoad(row[2])) {
            return undefined;
        }
        targets.push({ target: row[0], outcomes: row[1], load: row[2] ?? undefined });
    }
    return targets;
}

/** Decodes a datagram. */
export function decodeDigest(bytes: Buffer): Result<Digest, MalformedDigest> {
    return parseFields(bytes).andThen(fields => {
        const digest = readDigest(fields);
        return digest === undefined ? err(new MalformedDigest()) : ok(digest);
    });
}

/** Reads a digest from its parsed fields; undefined when they are not a digest in a supported format. */
export function readDigest(fields: unknown): Digest | undefined {
    if (!Array.isArray(fields) || fields[0] !== finalFormat && fields[0] !== forwardFormat) {
        return undefined;
    }
    const [, sender, leaving, probe, configurationVersion, targetsOffset, targetRows, admitted, instances] =
        fields as unknown[];
    // Absent in digests from instances of earlier versions.
    const [
        retries,
        domain,
        targetsAgeMs,
        configurationOffset,
        configurationAgeMs,
        linkMbps,
        sequence,
        storeOutageEndAgeMs,
        uptimeMs,
        storeEra,
        storeEraAgeMs,
    ] = withDefaults(fields.slice(9), [[], "", -1, 0, -1, 0, 0, -1, -1, -1, -1]);
    const targets = readTargets(targetRows);
    const admittedTotals = readTotals(admitted);
    const retryTotals = readTotals(retries);
    const isValid = typeof sender === "string" && typeof leaving === "boolean" && typeof probe === "boolean"
        && typeof configurationVersion === "number" && typeof targetsOffset === "number"
        && typeof domain === "string" && typeof targetsAgeMs === "number"
        && typeof configurationOffset === "number" && typeof configurationAgeMs === "number"
        && typeof linkMbps === "number" && typeof sequence === "number" && typeof storeOutageEndAgeMs === "number"
        && typeof uptimeMs === "number" && isInteger(storeEra) && isInteger(storeEraAgeMs)
        && Array.isArray(instances) && instances.every(address => typeof address === "string");
    return isValid && targets !== undefined && admittedTotals !== undefined && retryTotals !== undefined
        ? {
            sender,
            leaving,
            probe,
            configurationVersion,
            targetsOffset,
            targets,
            admitted: admittedTotals,
            retries: retryTotals,
            instances,
            domain,
            targetsAgeMs,
            configurationOffset,
            configurationAgeMs,
            linkMbps,
            storeOutageEndAgeMs,
            sequence,
            uptimeMs,
            storeEra,
            storeEraAgeMs,
        }
        : undefined;
}

function isInteger(value: unknown): value is number {
    return Number.isSafeInteger(value);
}

function withDefaults(fields: readonly unknown[], defaults: readonly unknown[]): unknown[] {
    return defaults.map((value, index) => fields[index] ?? value);
}
