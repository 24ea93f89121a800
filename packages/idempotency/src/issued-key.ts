import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** An idempotency key split into its parts. */
export interface IssuedKey {
    text: string;
    /** Incarnation that issued the key and alone may run the request. */
    incarnation: string;
    /** Time on the issuer's monotonic clock, in milliseconds, at which the key expires. */
    expiresAt: number;
}

/** Creates and checks the keys of one incarnation. */
export interface KeyIssuer {
    issue(organisation: string, expiresAt: number): string;
    /** Tells whether this process issued the key for the organisation. */
    verify(key: IssuedKey, organisation: string): boolean;
}

const pattern = /^ik\.([A-Za-z0-9_-]{1,172})\.([0-9a-z]{1,12})\.([0-9a-z]{1,12})\.([A-Za-z0-9_-]{22})$/;
const macBytes = 16;
const secretBytes = 32;
const radix = 36;

/** Splits a key, or returns undefined when the text does not have the form of an issued key. */
export function parseIssuedKey(text: string): IssuedKey | undefined {
    const match = pattern.exec(text);
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
    let issued = 0;

    function authenticate(body: string, organisation: string): Buffer {
        return createHmac("sha256", secret).update(body).update("\n").update(organisation).digest()
            .subarray(0, macBytes);
    }

    return {
        issue(organisation, expiresAt) {
            issued += 1;
            const body = `ik.${issuer}.${Math.floor(expiresAt).toString(radix)}.${issued.toString(radix)}`;
            return `${body}.${authenticate(body, organisation).toString("base64url")}`;
        },
        verify({ text }, organisation) {
            const end = text.lastIndexOf(".");
            const mac = Buffer.from(text.slice(end + 1), "base64url");
            return mac.length === macBytes && timingSafeEqual(mac, authenticate(text.slice(0, end), organisation));
        },
    };
}
