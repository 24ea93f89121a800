export { createLocalQuota } from "./local-quota";
export type { Quota, QuotaRequest } from "./quota";
export { QuotaRefusal } from "./quota";
export { createTokenBucket } from "./token-bucket";
export type { TokenBucket } from "./token-bucket";
