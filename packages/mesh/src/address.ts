/** Splits an address of the form `host:port`. */
export function splitAddress(text: string): { host: string; port: number; } {
    const separator = text.lastIndexOf(":");
    return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}
