export { applyRecord, createConfiguration, editVerdict } from "./configuration";
export type { Configuration, EditVerdict, EditVerdictCode, VersionedEntity } from "./configuration";
export { createConfigurationFollower } from "./configuration-follower";
export type { ConfigurationFollower } from "./configuration-follower";
export { changeKind, editSchema, keySchema, organisationSchema, planSchema, routeSchema } from "./edit";
export type { Change, Edit, Key, Organisation, Plan, Route } from "./edit";
export { createKey, parseKey, verifySecret } from "./key";
export type { CreatedKey, ParsedKey } from "./key";
export { isIdempotent, openOrganisation, selectRoute } from "./route-selection";
