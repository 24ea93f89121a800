export { createMonotonicClock } from "./monotonic-clock";
export type { Clock } from "./monotonic-clock";
export { createVirtualClock } from "./virtual-clock";
export type { VirtualClock } from "./virtual-clock";
