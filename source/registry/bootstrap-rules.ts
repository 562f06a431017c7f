import {type Address} from '../links/address.js';
import {type ControlRecord} from './messages.js';

/** What the first voter list is decided by. */
export type BootstrapInput = {
	readonly self: ControlRecord;
	readonly live: readonly ControlRecord[];
	/** Link addresses of the instances that all settings name at the first start. */
	readonly seeds: readonly Address[];
	/** Instances whose disks may be lost at the same time. */
	readonly lostDisks: number;
};

/**
Returns the first voter list when this instance is the one to set it, otherwise undefined.

One of the seeds decides, so that only one list is ever set. The list tolerates the stated losses with a majority of the rest.
*/
export function firstVoters({self, live, seeds, lostDisks}: BootstrapInput): readonly ControlRecord[] | undefined {
	const [coordinator] = seeds.toSorted();
	if (self.address !== coordinator || !self.mayBootstrap || self.group !== null) {
		return undefined;
	}

	const count = (2 * lostDisks) + 1;
	const empty = live.filter(record => record.mayBootstrap && record.group === null);
	if (empty.length < count) {
		return undefined;
	}

	const others = empty.filter(record => record.name !== self.name).toSorted((first, second) => first.name.localeCompare(second.name));
	return [self, ...others].slice(0, count);
}
