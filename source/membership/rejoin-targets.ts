import {type Address} from '../links/address.js';
import {type MembershipTable} from './membership-table.js';
import {isLive} from './membership-rules.js';

/** Address at which a failed or unknown process may answer again; the name is empty when only the address is known. */
export type RejoinTarget = {
	readonly address: Address;
	readonly name: string;
};

/** Returns the failed processes whose records are kept, and the seeds at whose addresses no process is live. */
export function rejoinTargets(table: MembershipTable, seeds: readonly Address[]): readonly RejoinTarget[] {
	const live = new Set(table.records().filter(record => isLive(record)).map(record => record.gossipAddress));
	const failed = table.failedNames().map(name => table.get(name)).filter(record => record !== undefined);
	return [
		...failed.map(record => ({address: record.gossipAddress, name: record.name})),
		...seeds.filter(address => !live.has(address)).map(address => ({address, name: ''})),
	];
}
