import { execFile } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { availableParallelism, tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { promisify } from "node:util";

const run = promisify(execFile);

/** Models with the macros under which they hold, and mutants that each lack one guard and that spin must reject. */
const models = [
    {
        name: "lease",
        holds: [["-DINITIAL=0"], ["-DINITIAL=1"]],
        mutants: [
            ["-DMUTANT_NO_WAIT"],
            ["-DMUTANT_OWN_FENCE_ONLY"],
            ["-DMUTANT_AGE_AT_RECEIPT"],
            ["-DINITIAL=1", "-DMUTANT_NO_PROMISE"],
            ["-DINITIAL=1", "-DMUTANT_KEEP_UNTIL_CONFIRMED"],
        ],
    },
    {
        name: "quota",
        holds: [[]],
        mutants: [["-DMUTANT_TERM_FROM_RECEIPT"], ["-DMUTANT_CREDIT_WITHOUT_DEBIT"], ["-DMUTANT_NO_FENCE_WAIT"], [
            "-DMUTANT_NO_DROP_ON_FENCE",
        ]],
    },
    {
        name: "at-most-once",
        holds: [[]],
        mutants: [["-DMUTANT_ANY_INCARNATION"], ["-DMUTANT_NO_REGISTER"], ["-DMUTANT_RELAY_RETRIES"]],
    },
];

interface SearchResult {
    errors: number;
    /** Whether the search visited every reachable state. */
    exhaustive: boolean;
    assertion: string;
}

async function check(name: string, macros: readonly string[]): Promise<SearchResult> {
    const cwd = mkdtempSync(join(tmpdir(), `model-${name}-`));
    try {
        await run("spin", ["-a", ...macros, resolve("models", `${name}.pml`)], { cwd });
        await run("gcc", ["-O3", "-w", "-DSAFETY", "-o", "pan", "pan.c"], { cwd });
        const { stdout } = await run("./pan", ["-m200000", "-w24"], { cwd });
        const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? NaN);
        const isIncomplete = /max search depth too small|Search not completed|out of memory/.test(stdout);
        return {
            errors,
            exhaustive: !isIncomplete,
            assertion: /pan:\d+: [^\n]*/.exec(stdout)?.[0] ?? "",
        };
    }
    finally {
        rmSync(cwd, { recursive: true, force: true });
    }
}

const cases = models.flatMap(({ name, holds, mutants }) => [
    ...holds.map(macros => ({ name, macros, holds: true })),
    ...mutants.map(macros => ({ name, macros, holds: false })),
]);

/**
 * Timeout of all searches, in milliseconds. It ends a search that hangs; it is not a bound of the models. Compiling and
 * searching takes over a minute on a fully loaded machine.
 */
const searchTimeoutMs = 300_000;

describe("models", () => {
    const outcomes = new Map<string, SearchResult>();
    const key = (name: string, macros: readonly string[]) => [name, ...macros].join(" ");

    beforeAll(async () => {
        const queue = [...cases];
        const work = async () => {
            for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
                outcomes.set(key(next.name, next.macros), await check(next.name, next.macros));
            }
        };
        await Promise.all(Array.from({ length: Math.min(4, availableParallelism()) }, work));
    }, searchTimeoutMs);

    it.each(cases.filter(({ holds }) => holds))(
        "$name holds with $macros in every reachable state",
        ({ name, macros }) => {
            expect(outcomes.get(key(name, macros))).toEqual({ errors: 0, exhaustive: true, assertion: "" });
        },
    );

    it.each(cases.filter(({ holds }) => !holds))("$name violates its assertion with $macros", ({ name, macros }) => {
        const { errors, assertion } = outcomes.get(key(name, macros))!;
        expect(errors).toBeGreaterThan(0);
        expect(assertion).toContain("assertion violated 0");
    });
});
