export { findAuthorisation, isKeyInForce } from "./authorisation";
export type { Authorisation } from "./authorisation";
export { applyRecord, createConfiguration, editVerdict, replaceConfiguration } from "./configuration";
export type {
    Configuration,
    ConfigurationContent,
    EditVerdict,
    EditVerdictCode,
    VersionedEntity,
} from "./configuration";
export { configurationStream, createConfigurationFollower, recordsPerSnapshot } from "./configuration-follower";
export type {
    ConfigurationFollower,
    ConfigurationFollowerOptions,
    ConfigurationFollowerParts,
    PeerRecords,
    RenderedSnapshot,
} from "./configuration-follower";
export type { ConfigurationIndex, PlanRoute } from "./configuration-index";
export { changeKind, editSchema, keySchema, organisationSchema, planSchema, routeSchema } from "./edit";
export type { Change, Edit, Key, Organisation, Plan, Route } from "./edit";
export { createKey, parseKey, verifySecret } from "./key";
export type { CreatedKey, ParsedKey } from "./key";
export { findOpenRoute, isIdempotent, openPlanOrganisation, selectRoute } from "./route-selection";
export {
    maxSnapshotChunkBytes,
    parseSnapshot,
    renderSnapshot,
    renderSnapshotPieces,
    SnapshotFailure,
} from "./snapshot";
export { findNewestSnapshot, readSnapshot, snapshotStream, writeSnapshot } from "./snapshot-stream";
