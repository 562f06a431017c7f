import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {BackendDirectory} from './backend-directory.js';
import {type BackendAnnouncement} from './types.js';

function announcement(changes: Partial<BackendAnnouncement> = {}): BackendAnnouncement {
	return {
		id: 'a', service: 'ledger', address: '10.0.0.1:1', dataCentre: 'here', slots: 3, isLeaving: false, role: 'replica', startedAt: 1000, sequence: 5, ...changes,
	};
}

test('a late announcement does not replace a newer one', () => {
	const directory = new BackendDirectory(new ManualClock());
	directory.applyAnnouncement(announcement({sequence: 5, isLeaving: true}));
	assert.equal(directory.applyAnnouncement(announcement({sequence: 4})), false);
	assert.equal(directory.servers[0].isLeaving, true);
});

test('a server that started again is taken with counts that start anew', () => {
	const directory = new BackendDirectory(new ManualClock());
	directory.applyAnnouncement(announcement({sequence: 50, role: 'primary'}));
	assert.equal(directory.applyAnnouncement(announcement({startedAt: 2000, sequence: 1})), true);
	assert.equal(directory.servers[0].role, 'replica');
	assert.equal(directory.applyAnnouncement(announcement({sequence: 51, role: 'primary'})), false, 'a late announcement of the earlier life');
});

test('a late announcement does not bring back a server that left', () => {
	const directory = new BackendDirectory(new ManualClock());
	directory.applyAnnouncement(announcement());
	directory.markGone('a');
	directory.applyAnnouncement(announcement({sequence: 9}));
	assert.deepEqual(directory.servers, []);
	directory.applyAnnouncement(announcement({startedAt: 2000, sequence: 1}));
	assert.equal(directory.servers.length, 1);
});

test('an address belongs to the server that started there last', () => {
	const directory = new BackendDirectory(new ManualClock());
	directory.applyAnnouncement(announcement({id: 'b', startedAt: 2000}));
	directory.applyAnnouncement(announcement({id: 'a', startedAt: 1000}));
	assert.deepEqual(directory.servers.map(server => server.id), ['b'], 'a late announcement of the server before');
	directory.applyAnnouncement(announcement({id: 'c', startedAt: 3000}));
	assert.deepEqual(directory.servers.map(server => server.id), ['c']);
});

test('directories that know the same have the same digest, and a merge makes them equal', () => {
	const first = new BackendDirectory(new ManualClock());
	const second = new BackendDirectory(new ManualClock());
	first.applyAnnouncement(announcement());
	first.applyAnnouncement(announcement({id: 'b', address: '10.0.0.2:1'}));
	first.markGone('b');
	assert.notEqual(first.digest, second.digest);
	second.merge(first.known);
	assert.equal(first.digest, second.digest);
	first.applyAnnouncement(announcement({sequence: 6}));
	assert.equal(first.digest, second.digest, 'an announcement without news changes nothing');
});

test('a server that fell silent is no longer offered', () => {
	const clock = new ManualClock();
	const directory = new BackendDirectory(clock);
	directory.applyAnnouncement(announcement());
	clock.advance(10_001);
	assert.deepEqual(directory.servers, []);
	directory.recordAnnouncementAges([['a', 500]]);
	assert.equal(directory.servers.length, 1);
});
