export { loadSettings, settingsSchema } from "./settings";
export type { Settings } from "./settings";
export { SettingsFailure } from "./settings-failure";
