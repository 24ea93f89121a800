export { createDecisionLog } from "./decision-log";
export type { DecisionLog, DecisionLogOptions } from "./decision-log";
export { decodeHistogram, encodeHistograms, mergeHistograms } from "./histogram-transfer";
export { createLineWriter } from "./line-writer";
export type { LineWriter } from "./line-writer";
export { redactKeys } from "./redaction";
export { createTelemetry } from "./telemetry";
export type { LogFields, Telemetry, TelemetryOptions } from "./telemetry";
