import type { Client } from "@connectrpc/connect";
import type { FleetService, MemberState } from "@trefoilladder/protocol";

/** Client of another entry instance. */
export type MembershipPeer = Client<typeof FleetService>;

/** An incarnation as this instance knows it. */
export interface Member {
    /** Instance id and random incarnation number, joined by "~". */
    incarnation: string;
    instanceId: string;
    domain: string;
    /** Base URL of the inner listener. */
    origin: string;
    state: MemberState;
    /** Upper bound of the age of the last row, in milliseconds. */
    ageMs: number;
    /** Offset of the next configuration record that the member will apply. */
    appliedOffset: number;
    fenced: boolean;
}

/** This instance's view of the other entry instances. */
export interface Membership {
    /** Incarnation of this process; a new one after it was fenced. */
    self(): string;
    /**
     * Tells whether this instance may admit requests now. Must be called in the same event-loop turn as the decision
     * that depends on it.
     */
    holdsLease(): boolean;
    /** Monotonic time in milliseconds until which the lease holds without further contact. */
    leaseUntil(): number;
    isFenced(incarnation: string): boolean;
    /** Returns every known incarnation, this one included. */
    members(): readonly Member[];
    /** Returns a client of an incarnation that is known and not fenced. */
    peer(incarnation: string): MembershipPeer | undefined;
    /** Returns whether a majority of the listed members has applied the configuration up to an offset. */
    majorityApplied(offset: number): boolean;
}
