import { stringify } from "yaml";
import { z } from "zod";
import { settingsSchema } from "./settings";

interface FieldSchema {
    type?: string;
    description?: string;
    default?: unknown;
    properties?: Record<string, FieldSchema>;
    required?: string[];
    items?: FieldSchema;
}

const indentation = "  ";

function renderField(name: string, field: FieldSchema, required: boolean): string[] {
    const comment = `# ${field.description ?? ""}${required ? " Required." : ""}`;
    if (field.properties !== undefined) {
        const lines = renderFields(field).map(line => `${indentation}${line}`);
        const optional = field.default === undefined;
        // An object with required fields has no default and is rendered as a commented-out example.
        return [comment, ...[`${name}:`, ...lines].map(line => optional ? `# ${line}` : line)];
    }
    if (field.items?.properties !== undefined) {
        const example = renderFields(field.items)
            .map((line, index) => `# ${index === 0 ? "- " : indentation}${line}`);
        return [comment, `${name}: ${JSON.stringify(field.default)}`, ...example];
    }
    return [comment, field.default === undefined ? `# ${name}:` : `${name}: ${stringify(field.default).trim()}`];
}

function renderFields({ properties, required }: FieldSchema): string[] {
    return Object.entries(properties ?? {})
        .flatMap(([name, field]) => renderField(name, field, required?.includes(name) === true));
}

/** Renders every setting with its description and default value as YAML; fields without a default are commented out. */
export function renderDefaultSettings(): string {
    const schema = z.toJSONSchema(settingsSchema, { io: "input" }) as FieldSchema;
    return `${renderFields(schema).join("\n")}\n`;
}
