export { createInstanceListClient } from "./instance-list-client";
export { instanceRole, instanceState } from "./instance-list-client";
export type { InstanceListClient, ListedInstance } from "./instance-list-client";
export { createLogClient } from "./log-client";
export type { LogClient, LogPage, LogRecord, OffsetRange } from "./log-client";
export { PlatformFailure } from "./platform-failure";
