import { randomBytes } from "node:crypto";

const radix = 36;
const prefixBytes = 8;

/** Creates a generator of request ids. An id is a random prefix and a counter, which is cheaper than a UUID. */
export function createRequestIds(): () => string {
    const prefix = randomBytes(prefixBytes).toString("hex");
    let count = 0;
    return () => {
        count += 1;
        return `${prefix}-${count.toString(radix)}`;
    };
}
