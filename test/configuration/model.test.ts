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

/** Searches the whole state space of the model and returns the checker's output. */
function check(...macros: string[]): string {
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
    it("guards against an order of appends, expiry, snapshots and restarts in which readers differ or revert", () => {
        const output = check();
        expect(output).toMatch(/errors: 0/);
        // A search that was cut short proves nothing.
        expect(output).not.toMatch(/max search depth too small|Search not completed|out of memory/);
    }, 180_000);

    it.each(mutants)("guards against a model that cannot tell a wrong fold from a right one: %s", mutant => {
        expect(check(mutant)).toMatch(/assertion violated[\s\S]*errors: [1-9]/);
    }, 180_000);
});
