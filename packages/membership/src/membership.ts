import type { Client } from "@connectrpc/connect";
import type { FleetService, MemberState } from "@trefoilladder/protocol";

/** Client of another entry instance. */
export type MembershipPeer = Client<typeof FleetService>;

/** An incarnation as seen by this instance. */
export interface Member {
    /** Instance id and random incarnation number, joined by "~". */
    incarnation: string;
    instanceId: string;
    domain: string;
    /** Base URL of the inner listener. */
    origin: string;
    state: MemberState;
    /** Upper bound of the age of the last row received, in milliseconds. */
    ageMs: number;
    /** Offset of the next configuration record that the member will apply. */
    appliedOffset: number;
    fenced: boolean;
}

/** This instance's view of the other entry instances. */
export interface Membership {
    /** Current incarnation of this process; it changes after the process was fenced. */
    self(): string;
    /**
     * Returns whether this instance holds its lease and may admit requests now. Call it in the same event-loop turn as
     * the decision that depends on it.
     */
    holdsLease(): boolean;
    /** Monotonic time in milliseconds at which the lease expires without further contact with peers. */
    leaseUntil(): number;
    isFenced(incarnation: string): boolean;
    /** Returns every known incarnation, including this one. */
    members(): readonly Member[];
    /** Returns a client for a known incarnation that is not fenced. */
    peer(incarnation: string): MembershipPeer | undefined;
    /** Returns whether a majority of the members has applied the configuration up to an offset. */
    majorityApplied(offset: number): boolean;
}
