import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";
import type { z } from "zod";

/** A syntax or validation error in a YAML file. */
export interface YamlIssue {
    /** Path of the field, joined with dots. */
    path: string;
    line: number;
    message: string;
}

/** A validated YAML document that can locate further errors in its source. */
export interface YamlDocument<Value> {
    value: Value;
    /** Creates an error for the field at a path. */
    issueAt(path: readonly PropertyKey[], message: string): YamlIssue;
}

type Located = Pick<YamlIssue, "path" | "line">;

function keyOffset(parent: unknown, key: PropertyKey): number | undefined {
    const pair = isMap(parent)
        ? parent.items.find(item => isScalar(item.key) && item.key.value === key)
        : undefined;
    return pair !== undefined && isScalar(pair.key) ? pair.key.range?.[0] : undefined;
}

function locate(document: Document, lines: LineCounter, path: readonly PropertyKey[]): Located {
    // A missing field has no line; the line of the closest enclosing field that exists is used.
    for (let length = path.length; length > 0; length--) {
        const parent = length === 1 ? document.contents : document.getIn(path.slice(0, length - 1), true);
        const node = document.getIn(path.slice(0, length), true);
        const offset = keyOffset(parent, path[length - 1]!) ?? (isNode(node) ? node.range?.[0] : undefined);
        if (offset !== undefined) {
            return { path: path.join("."), line: lines.linePos(offset).line };
        }
    }
    return { path: path.join("."), line: 1 };
}

/** Parses YAML and validates it against a schema; the failure lists every error with its line, in line order. */
export function checkYaml<Schema extends z.ZodType>(
    text: string,
    schema: Schema,
): Result<YamlDocument<z.infer<Schema>>, YamlIssue[]> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
        return err(document.errors.map(error => ({
            path: "",
            line: lines.linePos(error.pos[0]).line,
            message: error.message.split("\n", 1)[0]!,
        })));
    }
    const issueAt = (path: readonly PropertyKey[], message: string) => ({
        ...locate(document, lines, path),
        message,
    });
    const parsed = schema.safeParse(document.toJS());
    if (parsed.success) {
        return ok({ value: parsed.data, issueAt });
    }
    const issues = parsed.error.issues.flatMap(issue =>
        issue.code === "unrecognized_keys"
            ? issue.keys.map(key => issueAt([...issue.path, key], "unknown field"))
            : [issueAt(
                issue.path,
                issue.message.endsWith("received undefined") ? "the field is missing" : issue.message,
            )]
    );
    return err(issues.sort((a, b) => a.line - b.line));
}
