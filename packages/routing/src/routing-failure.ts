import { Failure } from "@trefoilladder/failures";

/** Reasons why the router grants a request no slot on a target. */
export type RoutingFailureCode = "no_target" | "queue_full" | "deadline_too_short" | "cancelled";

/** Failure to get a slot; the request has not left the proxy. */
export class RoutingFailure extends Failure<RoutingFailureCode> {}
