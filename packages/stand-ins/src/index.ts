export { startInstanceList } from "./instance-list";
export type { InstanceListStandIn } from "./instance-list";
export { startLog } from "./log";
export type { LogStandIn } from "./log";
export { startTarget } from "./target";
export type { TargetStandIn } from "./target";
