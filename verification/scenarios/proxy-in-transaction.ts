import {CallerConnection} from '../caller-connection.js';
import {writtenValue, type Outcome} from '../history.js';
import {type Scenario, type ScenarioContext} from '../scenario.js';
import {database} from '../tested-fleet.js';
import {failureTargets} from './kill-process.js';

const transactionCount = 4;

/** Opens a transaction and writes its first row. */
async function openTransaction({fleet}: ScenarioContext, key: string): Promise<CallerConnection> {
	const connection = new CallerConnection('entry-2', fleet.processes.callerAddresses.get('entry-2')!, database, '');
	await connection.open();
	await connection.query({text: 'BEGIN'});
	await connection.query({text: 'INSERT INTO pair (key, value) VALUES ($1, $2)', values: [key, writtenValue(key, 'first')]});
	return connection;
}

/** Continues a transaction whose proxy process was killed, and returns the reported outcome. */
async function continueTransaction(connection: CallerConnection, key: string): Promise<Outcome> {
	try {
		await connection.query({text: 'INSERT INTO pair (key, value) VALUES ($1, $2)', values: [key, writtenValue(key, 'second')]});
		const {command} = await connection.query({text: 'COMMIT'});
		return command === 'COMMIT' ? {kind: 'acknowledged'} : {kind: 'error', detail: command};
	} catch (error) {
		// The proxy was killed before COMMIT was sent, so nothing of the transaction may remain.
		return {kind: 'error', detail: (error as Error).message};
	} finally {
		await connection.close();
	}
}

/** An entry or a pool is killed while transactions are open; nothing of the transactions may remain. */
export const proxyInTransactionScenarios: readonly Scenario[] = (['entry', 'pool'] as const).map(role => ({
	name: `kill-${role}-in-transaction`,
	async run(context) {
		const {fleet, history} = context;
		const keys = Array.from({length: transactionCount}, (_, index) => `open-${index}`);
		const sentRequests = keys.map(key => ({
			session: 'open', entry: 'entry-2', kind: 'transaction', key, value: key, requestId: null, maximumAge: null,
		} as const));
		// The workload uses the same slots, so some of the transactions may fail to open.
		const connections = await Promise.all(keys.map(async key => openTransaction(context, key).catch(() => undefined)));
		await fleet.sendSignal(await failureTargets[role](fleet), 'SIGKILL');
		let continuedCount = 0;
		for (const [index, connection] of connections.entries()) {
			if (connection) {
				continuedCount++;
				await history.record(sentRequests[index], async () => continueTransaction(connection, keys[index]));
			}
		}

		return continuedCount > 0 ? [] : ['no transaction was open when the proxy was killed'];
	},
}));
