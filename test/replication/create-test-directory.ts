import { createVirtualClock } from "@trefoilladder/clock";
import { createTargetDirectory } from "@trefoilladder/replication";
import type { TargetDirectory, TargetDirectoryOptions } from "@trefoilladder/replication";
import { silentLog } from "./silent-log";

/** Creates an empty directory without an outage of the store; the caller may override options. */
export function createTestDirectory(options: Partial<TargetDirectoryOptions> = {}): TargetDirectory {
    return createTargetDirectory({
        clock: createVirtualClock(),
        log: silentLog(),
        expiryGraceUntil: () => -Infinity,
        isKnownService: () => true,
        removed: () => undefined,
        leaving: () => undefined,
        ...options,
    });
}
