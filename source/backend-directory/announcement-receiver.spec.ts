import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {AnnouncementReceiver, type AnnouncementOutcome} from './announcement-receiver.js';
import {BackendDirectory} from './backend-directory.js';
import {type BackendAnnouncement} from './types.js';

const period = 1200;
const maximumClockDifference = 15_000;

/** Start of the real server. */
const realStart = 60_000;

class Fixture {
	readonly clock = new ManualClock();
	readonly directory = new BackendDirectory(this.clock);
	#sequence = 1;
	readonly #receiver = new AnnouncementReceiver({
		clock: this.clock, logger: silentLogger, directory: this.directory, maximumClockDifference,
	});

	constructor() {
		this.clock.advance(100_000);
	}

	receive(changes: Partial<BackendAnnouncement>): AnnouncementOutcome {
		return this.#receiver.receive({
			id: 'a', service: 'ledger', address: '10.0.0.1:1', dataCentre: 'here', slots: 3, isLeaving: false, role: 'primary', startedAt: realStart, sequence: 5, ...changes,
		});
	}

	/** Lets the real server announce itself, and returns how often that was applied. */
	announce(count: number): number {
		let applied = 0;
		for (let index = 0; index < count; index++) {
			this.clock.advance(period);
			applied += Number(this.receive({sequence: this.#sequence++}) === 'applied');
		}

		return applied;
	}

	/** Records that are used, as id, start and whether the server is leaving. */
	get used(): ReadonlyArray<readonly [id: string, startedAt: number, isLeaving: boolean]> {
		return this.directory.servers.map(({id, startedAt, isLeaving}) => [id, startedAt, isLeaving]);
	}
}

// A later start of a known server replaced its record for good, so that the real one was never used again.
test('a server holds its record against a start in the future, within and beyond the difference of clocks', () => {
	const fixture = new Fixture();
	fixture.announce(3);
	for (const startedAt of [Number.MAX_SAFE_INTEGER, 8.64e15, fixture.clock.wallTime() + maximumClockDifference + 1]) {
		assert.throws(() => fixture.receive({startedAt, isLeaving: true, sequence: 1}), {codeName: 'malformedMessage'});
	}

	assert.equal(fixture.receive({startedAt: fixture.clock.wallTime() + 5000, isLeaving: true, sequence: 1}), 'contested');
	assert.equal(fixture.announce(20), 20);
	assert.deepEqual(fixture.used, [['a', realStart, false]]);
});

// The numbers of the real server counted as old, and its record expired.
test('a server holds its record against a number of announcements that it cannot have sent', () => {
	const fixture = new Fixture();
	fixture.announce(3);
	for (const sequence of [Number.MAX_SAFE_INTEGER, 1_000_000]) {
		assert.equal(fixture.receive({sequence, isLeaving: true}), 'contested');
	}

	assert.equal(fixture.announce(20), 20);
	assert.deepEqual(fixture.used, [['a', realStart, false]]);
});

// An address belongs to the server that started there last; another writer could take it over with any start.
test('a server holds its address against another one that claims a later start there', () => {
	const fixture = new Fixture();
	fixture.announce(3);
	for (const startedAt of [realStart + 1, fixture.clock.wallTime(), fixture.clock.wallTime() + 5000]) {
		assert.equal(fixture.receive({id: 'x', startedAt, sequence: 1}), 'contested');
		assert.equal(fixture.announce(4), 4);
	}

	assert.deepEqual(fixture.used, [['a', realStart, false]]);
});

test('a server that passed for another one or took its address is replaced again while the real one announces itself', () => {
	for (const odd of [{startedAt: 70_000, sequence: 1}, {sequence: 60}, {id: 'x', startedAt: 95_000}]) {
		const fixture = new Fixture();
		if ('id' in odd) {
			fixture.receive(odd);
		} else {
			fixture.announce(3);
			assert.equal(fixture.receive(odd), 'applied');
		}

		fixture.announce(5);
		assert.deepEqual(fixture.used, [['a', realStart, false]], JSON.stringify(odd));
		assert.equal(fixture.announce(20), 20);
		assert.deepEqual(fixture.used, [['a', realStart, false]], JSON.stringify(odd));
	}
});

// Members' clocks may be ahead of that of the control instance.
test('a server whose clock is ahead is used, also after a restart', () => {
	const fixture = new Fixture();
	assert.equal(fixture.receive({startedAt: fixture.clock.wallTime() + maximumClockDifference, sequence: 1}), 'applied');
	fixture.clock.advance(5000);
	const startedAt = fixture.clock.wallTime() + maximumClockDifference;
	assert.equal(fixture.receive({startedAt, sequence: 1}), 'applied');
	assert.deepEqual(fixture.used, [['a', startedAt, false]]);
});

// Control instances tell each other how long ago a server announced itself, but not with which number.
test('a server that has announced itself to another instance for a while is heard at once', () => {
	const fixture = new Fixture();
	fixture.announce(3);
	for (let elapsed = 0; elapsed < 600_000; elapsed += 1000) {
		fixture.clock.advance(1000);
		fixture.directory.recordAnnouncementAges([['a', 500]]);
	}

	assert.equal(fixture.receive({sequence: 503, isLeaving: true}), 'applied');
	assert.deepEqual(fixture.used, [['a', realStart, true]]);
});

test('a server that restarts, or starts at the address of one that is gone, is used at once', () => {
	const fixture = new Fixture();
	fixture.announce(3);
	fixture.clock.advance(300);
	const startedAt = fixture.clock.wallTime() - 100;
	assert.equal(fixture.receive({startedAt, sequence: 1}), 'applied');
	fixture.directory.markGone('a');
	assert.equal(fixture.receive({id: 'b', startedAt: startedAt + 50, sequence: 1}), 'applied');
	assert.deepEqual(fixture.used, [['b', startedAt + 50, false]]);
});

test('the address of a server that fell silent is taken over by the next one there', () => {
	const fixture = new Fixture();
	fixture.announce(3);
	fixture.clock.advance(2000);
	const startedAt = fixture.clock.wallTime() - 100;
	assert.equal(fixture.receive({id: 'b', startedAt, sequence: 1}), 'contested');
	fixture.clock.advance(2000);
	assert.equal(fixture.receive({id: 'b', startedAt, sequence: 2}), 'applied');
	assert.deepEqual(fixture.used, [['b', startedAt, false]]);
});

// Announcements that a partition delayed arrive together, after the server has said that it is leaving or has left.
test('late announcements change nothing, however many arrive together or after the server left', () => {
	const fixture = new Fixture();
	fixture.announce(3);
	assert.equal(fixture.receive({sequence: 50, isLeaving: true}), 'applied');
	fixture.clock.advance(6000);
	for (let sequence = 20; sequence < 30; sequence++) {
		assert.equal(fixture.receive({sequence}), 'late');
	}

	assert.deepEqual(fixture.used, [['a', realStart, true]]);
	fixture.directory.markGone('a');
	for (let sequence = 30; sequence < 40; sequence++) {
		fixture.clock.advance(period);
		fixture.receive({sequence});
		fixture.receive({startedAt: 1000, sequence});
	}

	assert.deepEqual(fixture.used, []);
});

// The other control instances and the entries know the record with the higher numbers.
test('a reinstated record replaces the one with higher numbers in other directories', () => {
	const fixture = new Fixture();
	const other = new BackendDirectory(fixture.clock);
	fixture.announce(3);
	fixture.receive({startedAt: 70_000, sequence: 1});
	other.merge(fixture.directory.known);
	assert.equal(other.servers[0].startedAt, 70_000);
	fixture.announce(6);
	other.merge(fixture.directory.known);
	assert.equal(other.servers[0].startedAt, realStart);
	assert.equal(other.digest, fixture.directory.digest);
});
