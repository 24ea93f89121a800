export { renderDefaultSettings } from "./default-settings";
export { loadSettings, serviceSettings, settingsSchema } from "./settings";
export type { ServiceSettings, Settings } from "./settings";
export { SettingsFailure } from "./settings-failure";
export type { SettingsMistake } from "./settings-failure";
export { checkYaml } from "./yaml-document";
export type { YamlDocument, YamlMistake } from "./yaml-document";
