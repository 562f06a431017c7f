import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Passwords of callers by user. */
export class PasswordList {
	readonly #digests = new Map<string, Buffer>();

	/** Reads lines of the form `user:password`; empty lines and lines that begin with # are skipped. Throws invalidSetting. */
	constructor(text: string) {
		for (const [index, line] of text.split(/\r?\n/v).entries()) {
			if (line.trim() === '' || line.startsWith('#')) {
				continue;
			}

			const separator = line.indexOf(':');
			if (separator <= 0) {
				throw new BuckthornhitchError('invalidSetting', `Line ${index + 1} of the password file is not of the form user:password.`);
			}

			this.#digests.set(line.slice(0, separator), digest(line.slice(separator + 1)));
		}
	}

	/** Returns whether the password is that of the user. */
	matches(user: string, password: string): boolean {
		const expected = this.#digests.get(user);
		// Compared for an unknown user too, so that the time does not tell which users exist.
		return timingSafeEqual(digest(password), expected ?? Buffer.alloc(digestBytes)) && expected !== undefined;
	}
}

const digestBytes = 32;

function digest(password: string): Buffer {
	return createHash('sha256').update(password).digest();
}
