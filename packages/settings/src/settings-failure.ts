import { Failure } from "@trefoilladder/failures";

/** One mistake in a settings file. */
export interface SettingsMistake {
    /** Path of the field, joined by dots. */
    path: string;
    line: number;
    message: string;
}

/** Failure to read settings; carries every mistake found. */
export class SettingsFailure extends Failure<"settings_unreadable" | "settings_invalid"> {
    readonly mistakes: readonly SettingsMistake[];

    constructor(code: "settings_unreadable" | "settings_invalid", message: string, mistakes: SettingsMistake[]) {
        super(code, message);
        this.mistakes = mistakes;
    }
}
