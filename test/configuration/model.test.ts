import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const model = resolve("models/configuration.pml");
const mutants = [
    "MUTANT_NO_DUPLICATE_CHECK",
    "MUTANT_NO_REVISION_CHECK",
    "MUTANT_SKIP_EXPIRED",
    "MUTANT_INSTALL_OLDER",
    "MUTANT_SNAPSHOT_WITHOUT_IDS",
    "MUTANT_SERVE_EARLY",
];

/** Searches the whole state space of the model with Spin and returns the output of the verifier. */
function runModelChecker(...macros: string[]): string {
    const directory = mkdtempSync(join(tmpdir(), "trefoilladder-model-"));
    try {
        const options = { cwd: directory, encoding: "utf8" } as const;
        execFileSync("spin", [...macros.map(macro => `-D${macro}`), "-a", model], options);
        execFileSync("gcc", ["-O1", "-w", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=2048", "-o", "pan", "pan.c"], options);
        return execFileSync("./pan", ["-E", "-m100000"], options);
    }
    finally {
        rmSync(directory, { recursive: true, force: true });
    }
}

describe("model of the configuration stream", () => {
    it("has no order of appends, expiry, snapshots and restarts in which readers diverge or revert", () => {
        const output = runModelChecker();
        expect(output).toMatch(/errors: 0/);
        // An incomplete search may report no errors too.
        expect(output).not.toMatch(/max search depth too small|Search not completed|out of memory/);
    }, 180_000);

    it.each(mutants)("detects a faulty fold: %s", mutant => {
        expect(runModelChecker(mutant)).toMatch(/assertion violated[\s\S]*errors: [1-9]/);
    }, 180_000);
});
