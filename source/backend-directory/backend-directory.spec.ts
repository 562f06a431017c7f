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

// Announcements may arrive out of order.
test('a late announcement does not replace a newer one', () => {
	const directory = new BackendDirectory(new ManualClock());
	directory.applyAnnouncement(announcement({sequence: 5, isLeaving: true}));
	assert.equal(directory.applyAnnouncement(announcement({sequence: 4})), false);
	assert.equal(directory.servers[0].isLeaving, true);
});

// The sequence numbers of a restarted server start over; compared on their own, they would make its announcements look old.
test('announcements of a restarted server are applied although their sequence numbers start over', () => {
	const directory = new BackendDirectory(new ManualClock());
	directory.applyAnnouncement(announcement({sequence: 50, role: 'primary'}));
	assert.equal(directory.applyAnnouncement(announcement({startedAt: 2000, sequence: 1})), true);
	assert.equal(directory.servers[0].role, 'replica');
	assert.equal(directory.applyAnnouncement(announcement({sequence: 51, role: 'primary'})), false, 'a late announcement from before the restart');
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

// Requests to a replaced server would reach its successor at the same address.
test('an address belongs to the server that started there last', () => {
	const directory = new BackendDirectory(new ManualClock());
	directory.applyAnnouncement(announcement({id: 'b', startedAt: 2000}));
	directory.applyAnnouncement(announcement({id: 'a', startedAt: 1000}));
	assert.deepEqual(directory.servers.map(server => server.id), ['b'], 'a late announcement of the previous server');
	directory.applyAnnouncement(announcement({id: 'c', startedAt: 3000}));
	assert.deepEqual(directory.servers.map(server => server.id), ['c']);
});

// Processes exchange their directories only when the digests differ.
test('directories with the same servers have the same digest, and merging makes two directories equal', () => {
	const first = new BackendDirectory(new ManualClock());
	const second = new BackendDirectory(new ManualClock());
	first.applyAnnouncement(announcement());
	first.applyAnnouncement(announcement({id: 'b', address: '10.0.0.2:1'}));
	first.markGone('b');
	assert.notEqual(first.digest, second.digest);
	second.merge(first.known);
	assert.equal(first.digest, second.digest);
	first.applyAnnouncement(announcement({sequence: 6}));
	assert.equal(first.digest, second.digest, 'an announcement that changes only the sequence number keeps the digest');
});

test('a server without recent announcements is not listed', () => {
	const clock = new ManualClock();
	const directory = new BackendDirectory(clock);
	directory.applyAnnouncement(announcement());
	clock.advance(10_001);
	assert.deepEqual(directory.servers, []);
	directory.recordAnnouncementAges([['a', 500]]);
	assert.equal(directory.servers.length, 1);
});
