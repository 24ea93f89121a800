// A redacted key keeps its id, which is needed to revoke the key. The second pattern matches the secret of a key alone:
// 43 characters of base64url that are not part of a longer run.
const keyPattern = /tl_([A-Za-z0-9]{8,32})_[A-Za-z0-9_-]+/g;
const secretPattern = /(?<![A-Za-z0-9_-])[A-Za-z0-9_-]{43}(?![A-Za-z0-9_-])/g;

/** Redacts the secrets of keys, and text that has the format of a secret. */
export function redactKeys(text: string): string {
    return text.replace(keyPattern, "tl_$1_[redacted]").replace(secretPattern, "[redacted]");
}
