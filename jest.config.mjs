export default {
    rootDir: ".",
    roots: ["<rootDir>/test"],
    testEnvironment: "node",
    globalSetup: "<rootDir>/test/port-slot.ts",
    testMatch: ["**/*.test.ts"],
    transform: {
        "^.+\\.ts$": ["@swc/jest", {
            jsc: { target: "es2022", parser: { syntax: "typescript" } },
            module: { type: "commonjs" },
        }],
    },
    transformIgnorePatterns: ["/node_modules/(?!(pure-rand)/)"],
    testTimeout: 30_000,
};
