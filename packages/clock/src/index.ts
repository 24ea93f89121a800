export { createMonotonicClock } from "./monotonic-clock";
export type { Clock } from "./monotonic-clock";
export { createPauseDetector } from "./pause-detector";
export type { PauseDetector, PauseDetectorOptions } from "./pause-detector";
export { createVirtualClock } from "./virtual-clock";
export type { VirtualClock } from "./virtual-clock";
