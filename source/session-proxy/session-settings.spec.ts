import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {connectionStatementLimit} from '../statement/statement-limits.js';
import {type PreparedStatementDefinition} from '../statement/types.js';
import {type FakeMemberServer} from './member-server-fake.js';
import {SessionFixture} from './session-fixture.js';

/** What was in force on the connection when a prepared statement ran. */
type Execution = {
	readonly definition: PreparedStatementDefinition | undefined;
	readonly variables: Readonly<Record<string, string>>;
};

type History = {
	readonly executions: readonly Execution[];
	readonly resetCount: number;
};

/** Reads what a member received on its connections as the line protocol defines it. */
function readHistory({received}: FakeMemberServer): History {
	const connections = new Map<number, {readonly variables: Map<string, string>; readonly definitions: Map<string, PreparedStatementDefinition>}>();
	const executions: Execution[] = [];
	let resetCount = 0;
	for (const {connectionNumber, statement} of received) {
		const {variables, definitions} = connections.get(connectionNumber) ?? {variables: new Map<string, string>(), definitions: new Map<string, PreparedStatementDefinition>()};
		connections.set(connectionNumber, {variables, definitions});
		if (statement.kind === 'reset') {
			variables.clear();
			definitions.clear();
			resetCount++;
		}

		if (statement.kind === 'set') {
			variables.set(statement.name, statement.value);
		}

		if (statement.kind === 'prepare') {
			definitions.set(statement.name, statement.shape);
		}

		if (statement.kind === 'execute') {
			executions.push({definition: definitions.get(statement.name), variables: Object.fromEntries(variables)});
		}
	}

	return {executions, resetCount};
}

const definitions: readonly PreparedStatementDefinition[] = [
	{access: 'write', shape: 'q'},
	{access: 'write', shape: 'q r'},
	{access: 'read', shape: 'q'},
	...['x', 'y', 'z'].map((letter): PreparedStatementDefinition => ({access: 'write', shape: letter.repeat(Math.floor(connectionStatementLimit.length / 2.5))})),
];

const anyStep = fastCheck.record({
	session: fastCheck.nat({max: 2}),
	change: fastCheck.option(fastCheck.record({name: fastCheck.constantFrom('a', 'b'), value: fastCheck.constantFrom('1', '2')})),
	definition: fastCheck.nat({max: definitions.length - 1}),
});

// A RESET takes away the variables and the prepared statements of a connection that sessions share.
test('each prepared statement runs once with the definition and exactly the variables of its session', async () => {
	await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(anyStep, {minLength: 1, maxLength: 20}), async steps => {
		const fixture = new SessionFixture('primary');
		const sessions = await Promise.all([0, 1, 2].map(async () => ({session: await fixture.open(), variables: new Map<string, string>()})));
		const expected: Execution[] = [];
		for (const {session: index, change, definition} of steps) {
			const {session, variables} = sessions[index];
			if (change) {
				await fixture.run(session, {kind: 'set', id: 's', ...change});
				variables.set(change.name, change.value);
			}

			await fixture.run(session, {
				kind: 'prepare', id: 'p', name: 'p', shape: definitions[definition],
			});
			const startedAt = fixture.clock.now();
			const reply = await fixture.run(session, {
				kind: 'execute', id: 'e', name: 'p', parameters: 'i',
			});
			assert.equal(reply.outcome, 'done');
			assert.ok(fixture.clock.now() - startedAt <= 5, 'the statement was tried more than once');
			expected.push({definition: definitions[definition], variables: Object.fromEntries(variables)});
		}

		assert.deepEqual(fixture.members.flatMap(member => readHistory(member).executions), expected);
	}), {numRuns: 200});
});

test('after a RESET because of long definitions, further short ones need none', async () => {
	const fixture = new SessionFixture('primary');
	const session = await fixture.open();
	const execute = async (shape: string): Promise<void> => {
		await fixture.run(session, {
			kind: 'prepare', id: 'p', name: 'p', shape: {access: 'write', shape},
		});
		await fixture.run(session, {
			kind: 'execute', id: 'e', name: 'p', parameters: 'i',
		});
	};

	await execute('x'.repeat(connectionStatementLimit.length));
	for (const shape of ['a', 'b', 'c', 'd']) {
		await execute(shape);
	}

	assert.equal(readHistory(fixture.primary).resetCount, 1);
});
