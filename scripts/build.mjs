import { build } from "esbuild";
import { existsSync } from "node:fs";

const entryPoints = {
    "trefoilladder": "packages/client/src/main.ts",
    "trefoilladder-entry": "packages/entry/src/main.ts",
    "trefoilladder-experiment": "packages/experiment/src/main.ts",
    "trefoilladder-stand-in": "packages/stand-ins/src/main.ts",
};

await build({
    entryPoints: Object.fromEntries(Object.entries(entryPoints).filter(([, path]) => existsSync(path))),
    outdir: "dist",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    sourcemap: true,
    banner: { js: "#!/usr/bin/env node" },
    logLevel: "warning",
});
