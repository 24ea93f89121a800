import type { Clock } from "@trefoilladder/clock";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { Digest, TargetDigest, ToldTotal } from "./digest";
import type { Peer } from "./peers";
import type { PushedRecords } from "./pushed-records";

/** What an instance tells in its next digest. */
export interface News {
    configurationVersion: number;
    targetsOffset: number;
    targets: TargetDigest[];
    admitted: ToldTotal[];
    furtherAttempts: ToldTotal[];
    configurationOffset: number;
    /** Ages in milliseconds of the store's last answers about the streams; -1 while it does not answer. */
    targetsAgeMs: number;
    configurationAgeMs: number;
    /** Time in milliseconds since the store was last away from all instances; -1 while that is not known. */
    outageEndAgeMs: number;
}

/** Options of the mesh. */
export interface MeshOptions {
    /** IP address of this instance, and the port that all instances listen on. */
    address: string;
    port: number;
    /** Distinguishes restarts of this instance. */
    incarnation: string;
    /** Failure domain of this instance. */
    domain: string;
    /** Bandwidth of this instance's link in megabits a second; 0 when it is not known. */
    linkMbps: number;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    /** Returns what changed since the previous call. */
    collectNews(): News;
    receive(digest: Digest, peer: Peer): void;
    /** Called with records that an instance of this failure domain has read from the store. */
    receiveRecords(records: PushedRecords): void;
    /** Called once for each pass over silent and regained instances. */
    contactChanged(share: number): void;
}
