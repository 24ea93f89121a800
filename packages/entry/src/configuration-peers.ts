import type { Clock } from "@trefoilladder/clock";
import type { ConfigurationFollower, ConfigurationFollowerParts } from "@trefoilladder/configuration";
import type { Failure } from "@trefoilladder/failures";
import { instanceIdOf, MembershipFailure, membershipFailure } from "@trefoilladder/membership";
import type { Membership, MembershipPeer } from "@trefoilladder/membership";
import { MemberState } from "@trefoilladder/protocol";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

const offsetPollIntervalMs = 100;

async function callPeer<Response, Value>(
    membership: Membership,
    incarnation: string,
    call: (peer: MembershipPeer) => Promise<Response>,
    decode: (response: Response) => Value,
): Promise<Result<Value, Failure>> {
    const peer = membership.peer(incarnation);
    if (peer === undefined) {
        return err(new MembershipFailure("peer_unreachable", "the peer is unknown or fenced"));
    }
    try {
        return ok(decode(await call(peer)));
    }
    catch (thrown) {
        return err(membershipFailure(thrown, instanceIdOf(incarnation)));
    }
}

/** Returns the functions with which the configuration follower reads from peers while the log is unavailable. */
export function configurationPeers(
    membership: Membership,
): Pick<ConfigurationFollowerParts, "peers" | "fetchSnapshotFromPeer" | "fetchRecordsFromPeer"> {
    return {
        peers: () =>
            membership.members()
                .filter(({ incarnation, fenced, state }) =>
                    !fenced && incarnation !== membership.self() && state !== MemberState.LEFT
                )
                .sort((a, b) => b.appliedOffset - a.appliedOffset)
                .map(({ incarnation }) => incarnation),
        fetchSnapshotFromPeer: (incarnation, signal) =>
            callPeer(
                membership,
                incarnation,
                peer => peer.fetchSnapshot({}, { signal }),
                response => response.snapshotJson,
            ),
        fetchRecordsFromPeer: (incarnation, fromOffset, limit, signal) =>
            callPeer(
                membership,
                incarnation,
                peer => peer.fetchConfiguration({ fromOffset: BigInt(fromOffset), limit }, { signal }),
                response => ({
                    records: response.records.map(({ offset, valueJson }) => ({
                        offset: Number(offset),
                        value: JSON.parse(valueJson) as unknown,
                    })),
                    appliedOffset: Number(response.appliedOffset),
                    firstOffset: Number(response.firstOffset),
                }),
            ),
    };
}

/** Reports offsets that peers have applied and this instance has not to the follower, until the signal aborts. */
export async function watchPeerOffsets(
    parts: { membership: Membership; follower: ConfigurationFollower; clock: Clock; },
    signal: AbortSignal,
): Promise<void> {
    const { membership, follower, clock } = parts;
    while (!signal.aborted) {
        for (const member of membership.members()) {
            if (member.appliedOffset > follower.configuration.appliedOffset) {
                follower.observeHigherOffset(member.appliedOffset, member.incarnation);
            }
        }
        await clock.sleep(offsetPollIntervalMs, signal);
    }
}
