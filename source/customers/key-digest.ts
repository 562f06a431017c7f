import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Number of characters of a digest that logs contain; enough to tell the keys of one configuration apart. */
const shortDigestLength = 8;

/** Returns the SHA-256 digest of an API key, by which keys are stored and compared. A text is hashed in UTF-8; callers' keys are hashed as the bytes that arrived. A text with half of a surrogate pair has no form in UTF-8, so that no caller can send it; it is hashed in UTF-16, since a replaced half would be the key of others. */
export function digestKey(key: string | Uint8Array): string {
	const encoding = typeof key === 'string' && !key.isWellFormed() ? 'utf16le' : 'utf8';
	return createHash('sha256').update(typeof key === 'string' ? Buffer.from(key, encoding) : key).digest('hex');
}

/** Returns the part of a digest that may appear in logs. */
export function shortDigest(keyDigest: string): string {
	return keyDigest.slice(0, shortDigestLength);
}
