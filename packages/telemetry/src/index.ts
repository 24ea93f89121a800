export { decodeHistogram, encodeHistograms, mergeHistograms } from "./histogram-transfer";
export { redactKeys } from "./redaction";
export { createTelemetry } from "./telemetry";
export type { LogFields, Telemetry, TelemetryOptions } from "./telemetry";
