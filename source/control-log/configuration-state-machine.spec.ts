import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {applyDelta} from '../configuration/configuration-store.js';
import {type AcceptedConfiguration} from '../configuration/types.js';
import {ConfigurationStateMachine} from './configuration-state-machine.js';
import {type Command, type ControlLogEntry} from './types.js';

const commands: fastCheck.Arbitrary<Command> = fastCheck.oneof(
	fastCheck.record({
		kind: fastCheck.constant('apply' as const),
		changeId: fastCheck.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
		expectedRevision: fastCheck.nat(5),
		files: fastCheck.dictionary(fastCheck.constantFrom('base', 'site'), fastCheck.constantFrom('x', 'y'), {noNullPrototype: true}),
		operator: fastCheck.constant('ann'),
	}),
	fastCheck.record({
		kind: fastCheck.constant('registerMember' as const),
		database: fastCheck.constantFrom('one', 'constructor'),
		member: fastCheck.constantFrom('m1', 'm2', 'm3'),
		memberCount: fastCheck.constant(2),
	}),
);

const entriesOf = (commandList: readonly Command[]): readonly ControlLogEntry[] => commandList.map((command, offset) => ({index: offset + 1, term: 1, command}));

test('the deltas after a revision lead to the accepted configuration', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(commands, {maxLength: 20}), list => {
		const machine = new ConfigurationStateMachine();
		const history: AcceptedConfiguration[] = [];
		for (const entry of entriesOf(list)) {
			machine.apply(entry);
			history.push(machine.accepted);
		}

		for (const before of history) {
			const response = machine.changesSince(before.revision);
			if (response.kind === 'snapshot') {
				assert.equal(before.revision, 0);
				continue;
			}

			let configuration = before;
			for (const delta of response.deltas) {
				configuration = applyDelta(configuration, delta);
			}

			assert.deepEqual(configuration, machine.accepted);
		}
	}), {seed: 31});
});

// State that is missing in the snapshot would make voters respond differently to the same command.
test('a state machine restored from a snapshot gives the same results as one that applied the whole log', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(commands, {maxLength: 20}), fastCheck.nat(20), (commandList, restoreIndex) => {
		const original = new ConfigurationStateMachine();
		const restored = new ConfigurationStateMachine();
		for (const entry of entriesOf(commandList)) {
			if (entry.index === restoreIndex) {
				restored.restore(structuredClone(original.snapshot()));
			}

			const result = original.apply(entry);
			if (entry.index >= restoreIndex) {
				assert.deepEqual(restored.apply(entry), result);
			}
		}

		assert.deepEqual(restoreIndex > 0 && restoreIndex <= commandList.length ? restored.snapshot() : original.snapshot(), original.snapshot());
	}), {seed: 32});
});

// The last lines also cover the limit on deltas: more than 1,000 revisions back, the whole configuration is returned.
test('a change that is resent after 1,000 others gets its first response and is not applied again', () => {
	const machine = new ConfigurationStateMachine();
	const change = (number: number): ControlLogEntry => ({
		index: number + 1,
		term: 1,
		command: {
			kind: 'apply', changeId: `change ${number}`, expectedRevision: number, files: {base: String(number)}, operator: 'ann',
		},
	});
	const first = machine.apply(change(0));
	for (let number = 1; number <= 1000; number++) {
		machine.apply(change(number));
	}

	assert.deepEqual(machine.apply(change(0)), first);
	assert.equal(machine.accepted.revision, 1001);
	assert.equal(machine.changesSince(1).kind, 'deltas');
	machine.apply(change(1001));
	assert.equal(machine.changesSince(1).kind, 'snapshot');
});
