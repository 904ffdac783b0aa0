import tseslint from "typescript-eslint";

/** Reports every export after the first: the house style asks for one export a file. */
const singleExport = {
    meta: { type: "suggestion", schema: [] },
    create(context) {
        let exportCount = 0;
        const check = (node) => {
            exportCount += 1;
            if (exportCount > 1) {
                context.report({ node, message: "One export a file: move this export to a file of its own." });
            }
        };
        return {
            ExportNamedDeclaration: check,
            ExportDefaultDeclaration: check,
            ExportAllDeclaration: check,
        };
    },
};

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["src/**/*.ts", "platform/**/*.ts"],
        plugins: { project: { rules: { "single-export": singleExport } } },
        rules: {
            "project/single-export": "error",
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "prefer-const": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "TSInterfaceDeclaration[id.name=/^I[A-Z]/]", message: "No I prefix on interface names." },
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
                { selector: "TSNullKeyword", message: "Use undefined instead of null." },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
        },
    },
);
