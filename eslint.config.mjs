import tseslint from "typescript-eslint";

export default tseslint.config(
    {
        ignores: [
            "dist/**",
            "target/**",
            "journal/**",
            "coverage/**",
            "packages/protocol/src/generated/**",
            "**/node_modules/**",
        ],
    },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
                { selector: "ThrowStatement > Literal", message: "Throw a typed failure, not a bare string." },
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
            ],
            eqeqeq: "error",
            curly: "error",
            "prefer-const": "error",
            "no-var": "error",
        },
    },
);
