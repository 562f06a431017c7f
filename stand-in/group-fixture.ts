import pg from 'pg';
import {parseAddress, type Address} from '../source/links/address.js';
import {StandInMember, type StandInMemberOptions} from './member.js';

/** Starts a member for each name on a free loopback port. */
export async function startMembers(names: readonly string[], options: Partial<StandInMemberOptions> = {}): Promise<readonly StandInMember[]> {
	const members = names.map(name => new StandInMember({connectDelay: 0, ...options, name}));
	await Promise.all(members.map(async member => member.start()));
	return members;
}

/** Makes all members promise the term, promotes the first one and makes the others replicate from it. They connect to the given address, for example that of a relay, or directly to the first member. */
export function promoteFirst(term: number, [primary, ...others]: readonly StandInMember[], address: Address = primary.address): void {
	for (const member of [primary, ...others]) {
		member.callGroupFunction('group_promise', [term]);
	}

	primary.callGroupFunction('group_promote', [term]);
	for (const member of others) {
		member.callGroupFunction('group_follow', [term, primary.name, address]);
	}
}

/** Opens a connection with the `pg` client, whose application name tells the member which lease holder it belongs to. */
export async function connectClient(address: Address, leaseHolder = 'test'): Promise<pg.Client> {
	const client = new pg.Client({
		...parseAddress(address), user: 'test', database: 'test', application_name: `buckthornhitch/${leaseHolder}`,
	});
	client.on('error', () => {
		// The next query on the connection fails.
	});
	await client.connect();
	return client;
}

/** Resolves when the condition holds. The timeout of the test limits the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setTimeout(resolve, 2);
		});
	}
}
