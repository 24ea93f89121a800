export { attemptOutcome } from "./attempt";
export type { Attempt, AttemptOutcome, AttemptReport, SlotRequest } from "./attempt";
export { createRouter } from "./router";
export type { Router } from "./router";
export { RoutingFailure } from "./routing-failure";
export type { Target } from "./target";
