export { createTelemetry } from "./telemetry";
export type { LogFields, Telemetry, TelemetryOptions } from "./telemetry";
