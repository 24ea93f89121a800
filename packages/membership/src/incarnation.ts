import { randomBytes } from "node:crypto";

const separator = "~";

/** Creates an incarnation identifier: the instance id and a random 64-bit number. */
export function createIncarnation(instanceId: string): string {
    return `${instanceId}${separator}${randomBytes(8).toString("base64url")}`;
}

/** Returns the instance id of an incarnation. */
export function instanceIdOf(incarnation: string): string {
    const end = incarnation.lastIndexOf(separator);
    return end < 0 ? incarnation : incarnation.slice(0, end);
}
