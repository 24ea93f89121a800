import { Failure } from "@trefoilladder/failures";
import type { YamlIssue } from "./yaml-document";

/** A validation error in a settings file. */
export type SettingsIssue = YamlIssue;

/** Failure to load settings; contains every error found in the file. */
export class SettingsFailure extends Failure<"settings_unreadable" | "settings_invalid"> {
    readonly issues: readonly SettingsIssue[];

    constructor(code: "settings_unreadable" | "settings_invalid", message: string, issues: SettingsIssue[]) {
        super(code, message);
        this.issues = issues;
    }
}
