import type { Failure } from "@trefoilladder/failures";
import type { RecordStore } from "@trefoilladder/replication";
import type { ServingConfiguration, TargetRecord } from "@trefoilladder/serving";
import type { Result } from "neverthrow";
import type { HeaderNames } from "./header-names";

/** What the adapter of a platform provides. */
export interface PlatformPort {
    store: RecordStore;
    headers: HeaderNames;
    /** URL path of the readiness check. */
    readinessPath: string;
    /** Key of the operator's record in the configuration stream. */
    configurationKey: string;
    /** Prefix of the keys of the operator's evacuation records in the configuration stream, before the name of the failure domain. */
    evacuationKeyPrefix: string;
    decodeConfiguration(bytes: Buffer): Result<ServingConfiguration, Failure>;
    decodeTarget(id: string, bytes: Buffer): Result<TargetRecord, Failure>;
}
