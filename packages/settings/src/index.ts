export { loadSettings, settingsSchema } from "./settings";
export type { Settings } from "./settings";
export { SettingsFailure } from "./settings-failure";
export type { SettingsMistake } from "./settings-failure";
export { checkYaml } from "./yaml-document";
export type { YamlDocument, YamlMistake } from "./yaml-document";
