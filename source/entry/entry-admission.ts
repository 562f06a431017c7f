import {type Access} from '../pool/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Ends the admission of one request. */
export type LeaveAdmission = () => void;

type InFlight = Record<Access, number>;

/** Bounds the requests in flight for each database, reads and writes apart, so that lookups can not crowd out writes. */
export class EntryAdmission {
	readonly #inFlight = new Map<string, InFlight>();

	/** Admits a request. Throws queueFull when as many of its access are in flight as allowed. */
	enter(database: string, access: Access, limit: number): LeaveAdmission {
		const counts = this.#inFlight.get(database) ?? {read: 0, write: 0};
		if (counts[access] >= limit) {
			throw new BuckthornhitchError('queueFull', `This entry has ${counts[access]} ${access}s in flight for the database.`);
		}

		counts[access]++;
		this.#inFlight.set(database, counts);
		return () => {
			counts[access]--;
			if (counts.read === 0 && counts.write === 0) {
				this.#inFlight.delete(database);
			}
		};
	}
}
