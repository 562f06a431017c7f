import {CallerConnection} from '../caller-connection.js';
import {valueOf, type Outcome} from '../history.js';
import {type Scenario, type ScenarioContext} from '../scenario.js';
import {database} from '../verified-fleet.js';
import {targets} from './kill-process.js';

const openTransactions = 4;

/** Opens a transaction that has written its first row. */
async function openTransaction({fleet}: ScenarioContext, key: string): Promise<CallerConnection> {
	const connection = new CallerConnection('entry-2', fleet.processes.callerAddresses.get('entry-2')!, database, '');
	await connection.open();
	await connection.query({text: 'BEGIN'});
	await connection.query({text: 'INSERT INTO pair (key, value) VALUES ($1, $2)', values: [key, valueOf(key, 'first')]});
	return connection;
}

/** Continues a transaction whose proxy is gone and returns what was told. */
async function continueTransaction(connection: CallerConnection, key: string): Promise<Outcome> {
	try {
		await connection.query({text: 'INSERT INTO pair (key, value) VALUES ($1, $2)', values: [key, valueOf(key, 'second')]});
		const {command} = await connection.query({text: 'COMMIT'});
		return command === 'COMMIT' ? {kind: 'acknowledged'} : {kind: 'error', detail: command};
	} catch (error) {
		// COMMIT was not sent, so nothing of the transaction may remain.
		return {kind: 'error', detail: (error as Error).message};
	} finally {
		await connection.close();
	}
}

/** A proxy dies while transactions are open; nothing of them may remain. */
export const proxyInTransactionScenarios: readonly Scenario[] = (['entry', 'pool'] as const).map(role => ({
	name: `kill-${role}-in-transaction`,
	async run(context) {
		const {fleet, history} = context;
		const keys = Array.from({length: openTransactions}, (_, index) => `open-${index}`);
		// The workload shares the slots, so the transactions are opened one after the other.
		const sent = keys.map(key => ({
			session: 'open', entry: 'entry-2', kind: 'transaction', key, value: key, requestId: null, maximumAge: null,
		} as const));
		const connections = await Promise.all(keys.map(async key => openTransaction(context, key).catch(() => undefined)));
		await fleet.signal(await targets[role](fleet), 'SIGKILL');
		let open = 0;
		for (const [index, connection] of connections.entries()) {
			if (connection) {
				open++;
				await history.run(sent[index], async () => continueTransaction(connection, keys[index]));
			}
		}

		return open > 0 ? [] : ['no transaction was open when the proxy was killed'];
	},
}));
