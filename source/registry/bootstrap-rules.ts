import {type Address} from '../links/address.js';
import {type ControlRecord} from './messages.js';

/** Input for the selection of the initial voter list. */
export type BootstrapInput = {
	readonly self: ControlRecord;
	readonly live: readonly ControlRecord[];
	/** Link addresses of the control instances; at the first start, the settings of every instance list the same ones. */
	readonly seeds: readonly Address[];
	/** Number of simultaneous disk losses after which a majority of the voters must remain. */
	readonly toleratedDiskLosses: number;
};

/**
Returns the initial voter list when this instance is the one that sets it, otherwise undefined.

Only the first seed in sort order decides, so that only one list is ever set. Of 2n + 1 voters a majority remains after the loss of n disks.
*/
export function selectInitialVoters({self, live, seeds, toleratedDiskLosses}: BootstrapInput): readonly ControlRecord[] | undefined {
	const [coordinator] = seeds.toSorted();
	if (self.address !== coordinator || !self.mayBootstrap || self.group !== null) {
		return undefined;
	}

	const count = (2 * toleratedDiskLosses) + 1;
	const eligible = live.filter(record => record.mayBootstrap && record.group === null);
	if (eligible.length < count) {
		return undefined;
	}

	const others = eligible.filter(record => record.name !== self.name).toSorted((first, second) => first.name.localeCompare(second.name));
	return [self, ...others].slice(0, count);
}
