import { Code, ConnectError } from "@connectrpc/connect";
import { Failure } from "@trefoilladder/failures";

/** Failure codes of a call to a peer. */
export type MembershipFailureCode = "peer_unreachable" | "peer_deadline" | "peer_refused" | "peer_cancelled";

/** A failed call to another entry instance. */
export class MembershipFailure extends Failure<MembershipFailureCode> {}

const codeOf: Partial<Record<Code, MembershipFailureCode>> = {
    [Code.DeadlineExceeded]: "peer_deadline",
    [Code.Canceled]: "peer_cancelled",
    [Code.FailedPrecondition]: "peer_refused",
    [Code.PermissionDenied]: "peer_refused",
    [Code.Unimplemented]: "peer_refused",
};

/** Converts an error that a call to a peer threw into a typed failure. */
export function membershipFailure(thrown: unknown, instanceId: string): MembershipFailure {
    const cause = ConnectError.from(thrown);
    const code = codeOf[cause.code] ?? "peer_unreachable";
    return new MembershipFailure(code, `call to peer ${instanceId} failed`, { cause, info: { instanceId } });
}
