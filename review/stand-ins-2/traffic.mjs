/* eslint no-await-in-loop: off -- the steps follow one another */
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientSession} from './client.mjs';

/** Pause between two statements, and between two operations of a client, in milliseconds. */
const pause = 100;

/** Operations of the clients: the database and the statements. */
const operations = {
	write: ['lepu270', ['WRITE item data']],
	transaction: ['fiti832', ['BEGIN', 'READ item', 'WRITE item data', 'COMMIT']],
	read: ['xapu221', ['READ item']],
};

/** Runs an operation in a session of its own; resolves with the answer to its last statement. */
async function runOperation(host, [database, statements]) {
	const session = new ClientSession(host, database);
	try {
		if (!await session.open()) {
			return 'not opened';
		}

		let reply;
		for (const statement of statements) {
			reply = await session.query(statement);
			if (reply.kind !== 'done') {
				break;
			}

			await sleep(pause);
		}

		return reply.kind === 'refused' ? reply.code : reply.kind;
	} finally {
		session.close();
	}
}

/** Sends operations of all kinds through all entries for some time; returns the number of those that were served and of all. */
export async function runTraffic(record, fronts, milliseconds) {
	const answers = new Map();
	const endsAt = record.seconds + (milliseconds / 1000);
	const clients = fronts.flatMap(({host}) => Object.entries(operations).map(async ([name, operation]) => {
		while (record.seconds < endsAt) {
			const answer = `${name}: ${await runOperation(host, operation)}`;
			answers.set(answer, (answers.get(answer) ?? 0) + 1);
			record.addQuietly(answer);
			await sleep(pause);
		}
	}));
	await Promise.all(clients);
	let all = 0;
	let served = 0;
	for (const [answer, count] of answers) {
		all += count;
		served += answer.endsWith(': done') ? count : 0;
	}

	record.add(`${served} of ${all} operations were served: ${JSON.stringify(Object.fromEntries(answers))}`);
	return {served, all};
}
