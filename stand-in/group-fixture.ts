import pg from 'pg';
import {parseAddress, type Address} from '../source/links/address.js';
import {StandInMember, type StandInMemberOptions} from './member.js';

/** Starts a member for each name on a free port of the loopback address. */
export async function startMembers(names: readonly string[], options: Partial<StandInMemberOptions> = {}): Promise<readonly StandInMember[]> {
	const members = names.map(name => new StandInMember({connectDelay: 0, ...options, name}));
	await Promise.all(members.map(async member => member.start()));
	return members;
}

/** Lets the members promise the term, promotes the first and makes the others follow it at its own or the given address. */
export function promoteFirst(term: number, [primary, ...others]: readonly StandInMember[], address: Address = primary.address): void {
	for (const member of [primary, ...others]) {
		member.callGroupFunction('group_promise', [term]);
	}

	primary.callGroupFunction('group_promote', [term]);
	for (const member of others) {
		member.callGroupFunction('group_follow', [term, primary.name, address]);
	}
}

/** Opens a connection of the unmodified `pg` client. */
export async function connectClient(address: Address, holder = 'test'): Promise<pg.Client> {
	const client = new pg.Client({
		...parseAddress(address), user: 'test', database: 'test', application_name: `buckthornhitch/${holder}`,
	});
	client.on('error', () => {
		// The next query on the connection fails.
	});
	await client.connect();
	return client;
}

/** Resolves once the condition holds; the test's own time limit bounds the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setTimeout(resolve, 2);
		});
	}
}
