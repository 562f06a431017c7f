import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {type LinkClient} from '../links/link-client.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {MemoryStorage} from './memory-storage.js';
import {StateMachine} from './storage.js';
import {type ControlLogEntry, type Snapshot} from './types.js';
import {Voter} from './voter.js';

/** Records the indexes of the applied entries. */
class RecordingStateMachine extends StateMachine {
	readonly applied: number[] = [];

	override apply(entry: ControlLogEntry): void {
		this.applied.push(entry.index);
	}

	override snapshot(): undefined {
		return undefined;
	}

	override restore(): void {
		this.applied.length = 0;
	}
}

function entry(index: number): ControlLogEntry {
	return {index, term: 1, command: {kind: 'issueToken', subject: 'x'}};
}

// The entry after the stored commit index may never have been committed, so applying it could show a change that is lost later.
test('a restarted voter applies the entries that were known to be committed, and no others', async () => {
	const storage = new MemoryStorage('disk');
	const voters = [{name: 'one', diskId: 'disk', address: 'one:1'}];
	const snapshot: Snapshot = {
		index: 1, term: 1, group: 'group', list: {voters, learners: []}, image: undefined,
	};
	await storage.saveSnapshot(snapshot, []);
	await storage.append([entry(2), entry(3)], 1);
	await storage.append([entry(4)], 3);
	const stateMachine = new RecordingStateMachine();
	const voter = new Voter({
		name: 'one',
		address: 'one:1',
		storage,
		stateMachine,
		linkClient: undefined as unknown as LinkClient,
		clock: new ManualClock(),
		random: new SeededRandom(1),
		logger: silentLogger,
		observer: {
			committed: () => undefined, restored: () => undefined, event: () => undefined, roleChanged: () => undefined,
		},
	});
	await voter.open();
	assert.deepEqual(stateMachine.applied, [2, 3]);
	assert.equal(voter.commitIndex, 3);
	await voter.stop();
});
