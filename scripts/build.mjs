import { build } from "esbuild";

const common = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    logLevel: "warning",
};

/** Bundles by the name given as first argument; the default is `programs`. */
const bundles = {
    programs: {
        entryPoints: {
            "trefoilladder": "packages/client/src/main.ts",
            "trefoilladder-entry": "packages/entry/src/main.ts",
            "trefoilladder-experiment": "packages/experiment/src/main.ts",
            "trefoilladder-stand-in": "packages/stand-ins/src/main.ts",
            "trefoilladder-gateway": "platform/src/main.ts",
        },
        outdir: "dist",
        sourcemap: true,
        banner: { js: "#!/usr/bin/env node" },
    },
    // Minified, because the source text of a bundle stays in memory while the process runs.
    deploy: {
        entryPoints: { "trefoilladder-gateway": "platform/src/main.ts" },
        outdir: "target",
        minifyWhitespace: true,
        minifySyntax: true,
    },
};

await build({ ...common, ...bundles[process.argv[2] ?? "programs"] });
