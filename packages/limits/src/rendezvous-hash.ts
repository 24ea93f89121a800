/**
 * Hash functions for rendezvous hashing; all instances of a fleet must compute the same values.
 */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns the FNV-1a hash of a text. */
export function hashText(text: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    return hash >>> 0;
}

/** Mixes the bits of a hash (the finalizer of MurmurHash3). */
export function mixBits(hash: number): number {
    let mixed = hash;
    mixed = Math.imul(mixed ^ mixed >>> 16, 0x85ebca6b);
    mixed = Math.imul(mixed ^ mixed >>> 13, 0xc2b2ae35);
    return (mixed ^ mixed >>> 16) >>> 0;
}
