// Fails when the committed protocol code differs from the code that the generator creates from the .proto files.
import { execFileSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const committed = "packages/protocol/src/generated";

function listFiles(directory, prefix = "") {
    return readdirSync(directory).flatMap(name => {
        const path = join(directory, name);
        return statSync(path).isDirectory() ? listFiles(path, `${prefix}${name}/`) : [`${prefix}${name}`];
    }).sort();
}

const directory = mkdtempSync(join(tmpdir(), "trefoilladder-generated-"));
try {
    const template = readFileSync("buf.gen.yaml", "utf8").replace(committed, directory);
    const templatePath = join(directory, "..", `${directory.split("/").pop()}.yaml`);
    writeFileSync(templatePath, template);
    execFileSync("npx", ["buf", "generate", "--template", templatePath], { stdio: "inherit" });
    rmSync(templatePath);
    const generatedFiles = listFiles(directory);
    const committedFiles = listFiles(committed);
    const differs = generatedFiles.join() !== committedFiles.join()
        || generatedFiles.some(name =>
            readFileSync(join(directory, name), "utf8") !== readFileSync(join(committed, name), "utf8")
        );
    if (differs) {
        console.error("generated code differs from the .proto files; run npm run generate");
        process.exitCode = 1;
    }
}
finally {
    rmSync(directory, { recursive: true, force: true });
}
