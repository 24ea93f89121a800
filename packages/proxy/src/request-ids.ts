import { randomBytes } from "node:crypto";

const radix = 36;
const prefixBytes = 8;

/** Creates a source of request ids: a random prefix of the process and a counter, cheaper than a UUID for each. */
export function createRequestIds(): () => string {
    const prefix = randomBytes(prefixBytes).toString("hex");
    let count = 0;
    return () => {
        count += 1;
        return `${prefix}-${count.toString(radix)}`;
    };
}
