import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import type { Key } from "./edit";

const keyPattern = /^tl_([A-Za-z0-9]{8,32})_([A-Za-z0-9_-]{43})$/;
const keyIdBytes = 8;
const secretBytes = 32;

/** API key sent by a caller, split into its id and its secret. */
export interface ParsedKey {
    id: string;
    secret: string;
}

/** New API key: the text for the caller, shown once, and the stored form with the hash of the secret. */
export interface CreatedKey {
    text: string;
    key: Key;
}

function hashSecret(secret: string): Buffer {
    return createHash("sha256").update(secret).digest();
}

/** Creates a key for an organisation; the secret has 256 random bits. */
export function createKey(organisation: string): CreatedKey {
    const id = randomBytes(keyIdBytes).toString("hex");
    const secret = randomBytes(secretBytes).toString("base64url");
    return { text: `tl_${id}_${secret}`, key: { id, organisation, secretHash: hashSecret(secret).toString("hex") } };
}

/** Parses the text of a key; returns undefined when it is malformed. */
export function parseKey(text: string): ParsedKey | undefined {
    const match = keyPattern.exec(text);
    return match === null ? undefined : { id: match[1]!, secret: match[2]! };
}

/** Compares a secret with the stored hash in constant time. */
export function verifySecret(key: Key, secret: string): boolean {
    return timingSafeEqual(hashSecret(secret), Buffer.from(key.secretHash, "hex"));
}
