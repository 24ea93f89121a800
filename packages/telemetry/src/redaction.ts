// A whole key keeps its id, which is needed to revoke it. The second form is the secret of a key by itself: 43 characters
// of base64url that stand alone.
const keyPattern = /tl_([A-Za-z0-9]{8,32})_[A-Za-z0-9_-]+/g;
const secretPattern = /(?<![A-Za-z0-9_-])[A-Za-z0-9_-]{43}(?![A-Za-z0-9_-])/g;

/** Replaces whatever looks like a key or the secret of one. */
export function redactKeys(text: string): string {
    return text.replace(keyPattern, "tl_$1_[redacted]").replace(secretPattern, "[redacted]");
}
