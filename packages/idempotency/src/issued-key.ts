import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Parsed idempotency key. */
export interface IssuedKey {
    text: string;
    /** Incarnation that issued the key; the only one that may run the request. */
    incarnation: string;
    /** Time at which the key expires, in milliseconds on the issuer's monotonic clock. */
    expiresAt: number;
}

/** Issues and verifies the keys of one incarnation. */
export interface KeyIssuer {
    issue(organisation: string, expiresAt: number): string;
    /** Returns whether this process issued the key to the organisation. */
    verify(key: IssuedKey, organisation: string): boolean;
}

const keyPattern = /^ik\.([A-Za-z0-9_-]{1,172})\.([0-9a-z]{1,12})\.([0-9a-z]{1,12})\.([A-Za-z0-9_-]{22})$/;
const macBytes = 16;
const secretBytes = 32;
const radix = 36;

/** Parses a key; returns undefined when the text does not have the format of an issued key. */
export function parseIssuedKey(text: string): IssuedKey | undefined {
    const match = keyPattern.exec(text);
    return match === null ? undefined : {
        text,
        incarnation: Buffer.from(match[1]!, "base64url").toString(),
        expiresAt: Number.parseInt(match[2]!, radix),
    };
}

/** Creates the issuer of an incarnation with a new random secret. */
export function createKeyIssuer(incarnation: string): KeyIssuer {
    const secret = randomBytes(secretBytes);
    const issuer = Buffer.from(incarnation).toString("base64url");
    let sequence = 0;

    function computeMac(payload: string, organisation: string): Buffer {
        return createHmac("sha256", secret).update(payload).update("\n").update(organisation).digest()
            .subarray(0, macBytes);
    }

    return {
        issue(organisation, expiresAt) {
            sequence += 1;
            const payload = `ik.${issuer}.${Math.floor(expiresAt).toString(radix)}.${sequence.toString(radix)}`;
            return `${payload}.${computeMac(payload, organisation).toString("base64url")}`;
        },
        verify({ text }, organisation) {
            const end = text.lastIndexOf(".");
            const mac = Buffer.from(text.slice(end + 1), "base64url");
            return mac.length === macBytes && timingSafeEqual(mac, computeMac(text.slice(0, end), organisation));
        },
    };
}
