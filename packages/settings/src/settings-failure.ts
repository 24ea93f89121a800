import { Failure } from "@trefoilladder/failures";
import type { YamlMistake } from "./yaml-document";

/** A validation error in a settings file. */
export type SettingsMistake = YamlMistake;

/** Failure to load settings; contains every error found in the file. */
export class SettingsFailure extends Failure<"settings_unreadable" | "settings_invalid"> {
    readonly mistakes: readonly SettingsMistake[];

    constructor(code: "settings_unreadable" | "settings_invalid", message: string, mistakes: SettingsMistake[]) {
        super(code, message);
        this.mistakes = mistakes;
    }
}
