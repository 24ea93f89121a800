import { Failure } from "@trefoilladder/failures";
import type { YamlMistake } from "./yaml-document";

/** One mistake in a settings file. */
export type SettingsMistake = YamlMistake;

/** Failure to read settings; carries every mistake found. */
export class SettingsFailure extends Failure<"settings_unreadable" | "settings_invalid"> {
    readonly mistakes: readonly SettingsMistake[];

    constructor(code: "settings_unreadable" | "settings_invalid", message: string, mistakes: SettingsMistake[]) {
        super(code, message);
        this.mistakes = mistakes;
    }
}
