import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {applyDelta} from '../configuration/configuration-store.js';
import {type AcceptedConfiguration} from '../configuration/types.js';
import {ConfigurationStateMachine} from './state-machine.js';
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

const entriesOf = (list: readonly Command[]): readonly ControlLogEntry[] => list.map((command, position) => ({index: position + 1, term: 1, command}));

test('the changes after a revision do not lead to the accepted configuration', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(commands, {maxLength: 20}), list => {
		const machine = new ConfigurationStateMachine();
		const passed: AcceptedConfiguration[] = [];
		for (const entry of entriesOf(list)) {
			machine.apply(entry);
			passed.push(machine.accepted);
		}

		for (const before of passed) {
			const response = machine.since(before.revision);
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

test('a voter that started from a snapshot answers otherwise than one that has the whole log', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(commands, {maxLength: 20}), fastCheck.nat(20), (list, cut) => {
		const whole = new ConfigurationStateMachine();
		const restored = new ConfigurationStateMachine();
		for (const entry of entriesOf(list)) {
			if (entry.index === cut) {
				restored.restore(structuredClone(whole.snapshot()));
			}

			const answer = whole.apply(entry);
			if (entry.index >= cut) {
				assert.deepEqual(restored.apply(entry), answer);
			}
		}

		assert.deepEqual(cut > 0 && cut <= list.length ? restored.snapshot() : whole.snapshot(), whole.snapshot());
	}), {seed: 32});
});

test('a change that is resent after 1,000 others is applied again', () => {
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
	assert.equal(machine.since(1).kind, 'deltas');
	machine.apply(change(1001));
	assert.equal(machine.since(1).kind, 'snapshot');
});
