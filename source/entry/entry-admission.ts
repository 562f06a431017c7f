import {type Access} from '../pool/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Releases the admission of one request; must be called exactly once. */
export type ReleaseAdmission = () => void;

type InFlightCounts = Record<Access, number>;

/** Limits the requests in flight for each database. Reads and writes are counted separately, so that reads cannot crowd out writes. */
export class EntryAdmission {
	readonly #inFlight = new Map<string, InFlightCounts>();

	/** Admits a request. Throws queueFull if the limit for its database and kind of access is reached. */
	admit(database: string, access: Access, limit: number): ReleaseAdmission {
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
