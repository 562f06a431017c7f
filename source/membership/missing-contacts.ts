import {type Address} from '../links/address.js';
import {type MemberTable} from './member-table.js';
import {isLive} from './membership-rules.js';

/** Where a process that is missing may answer again; the name is empty when only the address is known. */
export type MissingContact = {
	readonly address: Address;
	readonly name: string;
};

/** Returns the failed processes that are remembered and the seeds at whose addresses no process is live. */
export function missingContacts(table: MemberTable, seeds: readonly Address[]): readonly MissingContact[] {
	const live = new Set(table.entries().filter(entry => isLive(entry)).map(entry => entry.gossipAddress));
	const failed = table.failedNames().map(name => table.get(name)).filter(entry => entry !== undefined);
	return [
		...failed.map(entry => ({address: entry.gossipAddress, name: entry.name})),
		...seeds.filter(address => !live.has(address)).map(address => ({address, name: ''})),
	];
}
