import type { Clock } from "@trefoilladder/clock";
import type { TokenRequest, TokenResponse } from "@trefoilladder/limits";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { Digest, RunningTotal, TargetDigest } from "./digest";
import type { Peer } from "./peers";
import type { PushedRecords } from "./pushed-records";

/** State that an instance sends in its next digest. */
export interface DigestContent {
    configurationVersion: number;
    targetsOffset: number;
    targets: TargetDigest[];
    admitted: RunningTotal[];
    retries: RunningTotal[];
    configurationOffset: number;
    /** Ages in milliseconds of the store's last responses about the streams; -1 while it does not respond. */
    targetsAgeMs: number;
    configurationAgeMs: number;
    /** Time in milliseconds since the store was last unavailable to all instances; -1 while unknown. */
    storeOutageEndAgeMs: number;
    /** Era of the store, and the time in milliseconds since it began; -1 while unknown. */
    storeEra: number;
    storeEraAgeMs: number;
}

/** Options of the mesh. */
export interface MeshOptions {
    /** IP address of this instance, and the port on which all instances listen. */
    address: string;
    port: number;
    /** Distinguishes restarts of this instance. */
    incarnation: string;
    /** Failure domain of this instance. */
    domain: string;
    /** Bandwidth of this instance's link in megabits per second; 0 when unknown. */
    linkMbps: number;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    /** Returns the monotonic time in milliseconds at which this instance started or was last paused. */
    runningSince(): number;
    /** Returns the current state, with the counts and totals that changed since the previous call. */
    collectDigestContent(): DigestContent;
    receive(digest: Digest, peer: Peer): void;
    /** Called with records that an instance of this failure domain has read from the store. */
    receiveRecords(records: PushedRecords): void;
    /** Decides on another instance's request for a token; the response is sent to that instance. */
    answerTokenRequest(request: TokenRequest): TokenResponse;
    /** Called with the response of the instance at an address. */
    receiveTokenResponse(address: string, response: TokenResponse): void;
    /** Called with the share of known instances in contact after each check for silent and regained instances. */
    updateContactShare(share: number): void;
}
