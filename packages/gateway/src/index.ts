export { startGateway } from "./gateway";
export type { Gateway } from "./gateway";
export type { HeaderNames } from "./header-names";
export type { PlatformPort } from "./platform-port";
export { checkSettings, readSettings } from "./settings";
export type { GatewaySettings, InvalidSettings } from "./settings";
export { watchSettingsFile } from "./settings-file";
