export { renderDefaultSettings } from "./default-settings";
export { loadSettings, serviceSettings, settingsSchema } from "./settings";
export type { ServiceSettings, Settings } from "./settings";
export { SettingsFailure } from "./settings-failure";
export type { SettingsIssue } from "./settings-failure";
export { checkYaml } from "./yaml-document";
export type { YamlDocument, YamlIssue } from "./yaml-document";
