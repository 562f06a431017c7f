import {createHash} from 'node:crypto';

/** Number of characters of a digest that logs contain; enough to tell the keys of one configuration apart. */
const shortDigestLength = 8;

/** Returns the SHA-256 digest of an API key, by which keys are stored and compared. A text is hashed in UTF-8; callers' keys are hashed as the bytes that arrived. */
export function digestKey(key: string | Uint8Array): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Returns the part of a digest that may appear in logs. */
export function shortDigest(keyDigest: string): string {
	return keyDigest.slice(0, shortDigestLength);
}
