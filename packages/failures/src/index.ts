export { Failure } from "./failure";
export type { FailureInfo } from "./failure";
