import { createVirtualClock } from "@trefoilladder/clock";
import { createTargetDirectory } from "@trefoilladder/replication";
import type { TargetDirectory, TargetDirectoryParts } from "@trefoilladder/replication";
import { silentLog } from "./silent-log";

/** Opens an empty directory that knows of no outage of the store, with some parts of the caller's own. */
export function openDirectory(parts: Partial<TargetDirectoryParts> = {}): TargetDirectory {
    return createTargetDirectory({
        clock: createVirtualClock(),
        log: silentLog(),
        lapseGraceUntil: () => -Infinity,
        removed: () => undefined,
        leaving: () => undefined,
        ...parts,
    });
}
