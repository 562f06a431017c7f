import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Passwords of callers by user, kept only as digests. */
export class PasswordList {
	readonly #digestsByUser = new Map<string, Buffer>();

	/** Parses lines of the form `user:password`. Empty lines and lines that start with `#` are skipped. Throws invalidSetting. */
	constructor(text: string) {
		for (const [index, line] of text.split(/\r?\n/v).entries()) {
			if (line.trim() === '' || line.startsWith('#')) {
				continue;
			}

			const separator = line.indexOf(':');
			if (separator <= 0) {
				throw new BuckthornhitchError('invalidSetting', `Line ${index + 1} of the password file is not of the form user:password.`);
			}

			this.#digestsByUser.set(line.slice(0, separator), hashPassword(line.slice(separator + 1)));
		}
	}

	/** Returns whether the password is correct for the user. */
	matches(user: string, password: string): boolean {
		const expected = this.#digestsByUser.get(user);
		// The comparison also runs for an unknown user, so that timing does not reveal which users exist.
		return timingSafeEqual(hashPassword(password), expected ?? Buffer.alloc(digestBytes)) && expected !== undefined;
	}
}

const digestBytes = 32;

function hashPassword(password: string): Buffer {
	return createHash('sha256').update(password).digest();
}
