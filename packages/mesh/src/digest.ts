import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** Load that a target reported, with the outcomes of attempts at it. */
export interface TargetDigest {
    target: string;
    /** Outcome names with their counts since the previous digest. */
    outcomes: [outcome: string, count: number][];
    /** Newest load report: running, waiting, slots. */
    load: [running: number, waiting: number, slots: number] | undefined;
}

/** Running total by name, with the part of it that came since the sender told it last. */
export type ToldTotal = [name: string, total: number, added: number];

/** What one instance tells the others in one datagram. */
export interface Digest {
    /** Address and incarnation of the sender. */
    sender: string;
    /** Whether the sender stops and counts no more. */
    leaving: boolean;
    /** Whether the sender wants an answer and the known instances with it. */
    greeting: boolean;
    configurationVersion: number;
    /** Offset up to which the sender has applied the targets' records. */
    targetsOffset: number;
    targets: TargetDigest[];
    /** Running totals of admitted requests by organisation. */
    admitted: ToldTotal[];
    /** Running totals of further attempts, less what requests earned, by service. */
    furtherAttempts: ToldTotal[];
    /** Addresses of instances, in answer to a greeting. */
    instances: string[];
    /** Failure domain of the sender. */
    domain: string;
    /**
     * Age in milliseconds of the store's last answer to the sender about the targets' records; -1 while the store does not
     * answer it.
     */
    targetsAgeMs: number;
    /** Offset up to which the sender has applied the configuration's records, and the same age for them. */
    configurationOffset: number;
    configurationAgeMs: number;
    /** Bandwidth of the sender's link in megabits a second; 0 when it is not known. */
    linkMbps: number;
    /** Time in milliseconds since the store was last away from all instances; -1 while the sender cannot tell. */
    outageEndAgeMs: number;
    /** Number of the digest within its sender's incarnation. */
    sequence: number;
}

/**
 * Returns what a digest still tells that a later one of its sender has overtaken: the outcomes. Totals, offsets and ages of the
 * later one hold.
 */
export function withoutState(digest: Digest): Digest {
    return { ...digest, admitted: [], furtherAttempts: [], targetsAgeMs: -1, configurationAgeMs: -1 };
}

/** A datagram that is no digest. */
export class MalformedDigest extends Failure<"malformed_digest"> {
    constructor(cause?: Error) {
        super("malformed_digest", "a datagram is not a digest of this version", { cause });
    }
}

/**
 * First elements of digests. Digests are JSON, which the runtime reads at a tenth of the processor time of a decoder written in
 * JavaScript; one that is to be passed on differs from a final one in this digit only.
 */
const finalFormat = 2;
const relayedFormat = 3;
/** Position of the digit in the datagram. */
const formatPosition = 1;
const digitZero = "0".charCodeAt(0);
/** Parts into which totals are rounded; they are fractions where requests earn a part of a further attempt. */
const totalParts = 1_000;

function roundTotal(total: number): number {
    return Math.round(total * totalParts) / totalParts;
}

/** Encodes a digest as an array, since field names would be half of each datagram. */
export function encodeDigest(digest: Digest): Buffer {
    const furtherAttempts = digest.furtherAttempts
        .map(([service, total, added]) => [service, roundTotal(total), roundTotal(added)]);
    return Buffer.from(JSON.stringify([
        finalFormat,
        digest.sender,
        digest.leaving,
        digest.greeting,
        digest.configurationVersion,
        digest.targetsOffset,
        digest.targets.map(({ target, outcomes, load }) => [target, outcomes, load ?? null]),
        digest.admitted,
        digest.instances,
        furtherAttempts,
        digest.domain,
        digest.targetsAgeMs,
        digest.configurationOffset,
        digest.configurationAgeMs,
        digest.linkMbps,
        digest.sequence,
        digest.outageEndAgeMs,
    ]));
}

/** Returns a digest that asks its receiver to pass it on to all instances. */
export function toRelayed(digest: Buffer): Buffer {
    return withFormat(digest, relayedFormat);
}

/** Returns the text of a digest to pass on; undefined when the datagram does not ask for it. */
export function toPassOn(datagram: Buffer): string | undefined {
    return datagram[formatPosition] === digitZero + relayedFormat
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

/** Reads totals; instances of an earlier version do not tell what was added. */
function readTotals(value: unknown): ToldTotal[] | undefined {
    if (!isPairList(value)) {
        return undefined;
    }
    const rows = value as unknown[][];
    const isValid = rows.every(row => row.length < 3 || Number.isFinite(row[2]));
    return isValid
        ? rows.map(([name, total, added]) => [name as string, total as number, (added ?? 0) as number])
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

/** Reads a digest from its parsed fields; undefined when it is none of this version. */
export function readDigest(fields: unknown): Digest | undefined {
    if (!Array.isArray(fields) || fields[0] !== finalFormat && fields[0] !== relayedFormat) {
        return undefined;
    }
    const [, sender, leaving, greeting, configurationVersion, targetsOffset, rows, admitted, instances] =
        fields as unknown[];
    // Absent in digests of older instances.
    const [
        furtherAttempts,
        domain,
        targetsAgeMs,
        configurationOffset,
        configurationAgeMs,
        linkMbps,
        sequence,
        outageEndAgeMs,
    ] = withDefaults(fields.slice(9), [[], "", -1, 0, -1, 0, 0, -1]);
    const targets = readTargets(rows);
    const admittedTotals = readTotals(admitted);
    const attemptTotals = readTotals(furtherAttempts);
    const isValid = typeof sender === "string" && typeof leaving === "boolean" && typeof greeting === "boolean"
        && typeof configurationVersion === "number" && typeof targetsOffset === "number"
        && typeof domain === "string" && typeof targetsAgeMs === "number"
        && typeof configurationOffset === "number" && typeof configurationAgeMs === "number"
        && typeof linkMbps === "number" && typeof sequence === "number" && typeof outageEndAgeMs === "number"
        && Array.isArray(instances) && instances.every(address => typeof address === "string");
    return isValid && targets !== undefined && admittedTotals !== undefined && attemptTotals !== undefined
        ? {
            sender,
            leaving,
            greeting,
            configurationVersion,
            targetsOffset,
            targets,
            admitted: admittedTotals,
            furtherAttempts: attemptTotals,
            instances,
            domain,
            targetsAgeMs,
            configurationOffset,
            configurationAgeMs,
            linkMbps,
            outageEndAgeMs,
            sequence,
        }
        : undefined;
}

function withDefaults(fields: readonly unknown[], defaults: readonly unknown[]): unknown[] {
    return defaults.map((value, index) => fields[index] ?? value);
}
