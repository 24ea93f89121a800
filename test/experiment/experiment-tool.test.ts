import { execFile } from "node:child_process";

interface ToolRun {
    code: number;
    stdout: string;
    stderr: string;
}

function runTool(...args: string[]): Promise<ToolRun> {
    return new Promise(resolve => {
        execFile(process.execPath, ["dist/trefoilladder-experiment.js", ...args], (error, stdout, stderr) => {
            resolve({ code: error === null ? 0 : Number(error.code), stdout, stderr });
        });
    });
}

describe("experiment tool", () => {
    it("measures a small fleet end to end and exits with 1 if and only if there are violations", async () => {
        const sizes = ["--instances", "2", "--targets", "2", "--seconds", "2", "--no-baselines"];
        const { code, stdout, stderr } = await runTool("gray-errors", "--seed", "7", "--json", ...sizes);
        expect(stderr).toBe("");
        const report = JSON.parse(stdout);
        expect(report).toMatchObject({ experiment: "gray-errors", seed: 7, parameters: { instances: 2, targets: 2 } });
        expect(report.measures.executions).toBeGreaterThan(0);
        expect(report.measures.detection.badTargets).toBe(1);
        expect(code).toBe(report.violations.length === 0 ? 0 : 1);
    }, 120_000);

    it("rejects an unknown experiment instead of reporting no violations", async () => {
        const { code, stderr } = await runTool("no-such-experiment", "--json");
        expect(code).toBe(2);
        expect(stderr).toContain("no-such-experiment");
    });
});
