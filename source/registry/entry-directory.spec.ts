import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {entriesDigest, EntryDirectory} from './entry-directory.js';
import {type EntryRecord} from './messages.js';

function entry(name: string, dataCentre = 'here'): EntryRecord {
	return {name, address: `${name}:1`, dataCentre};
}

test('an entry that stopped watching is no longer named to others', () => {
	const clock = new ManualClock();
	const directory = new EntryDirectory(clock);
	directory.heard(entry('first'));
	clock.advance(3000);
	directory.heard(entry('second'));
	assert.deepEqual(directory.own.map(({name}) => name), ['first', 'second']);
	clock.advance(2500);
	assert.deepEqual(directory.own.map(({name}) => name), ['second']);
});

test('an entry that moved to another control instance counts once', () => {
	const directory = new EntryDirectory(new ManualClock());
	directory.heard(entry('first'));
	directory.receive('other:1', [entry('first'), entry('second', 'there')]);
	assert.deepEqual(directory.all.map(({name}) => name).toSorted((left, right) => left.localeCompare(right)), ['first', 'second']);
});

test('the list of another control instance lasts while it is confirmed, and is sent again only after a change', () => {
	const clock = new ManualClock();
	const directory = new EntryDirectory(clock);
	const list = [entry('first'), entry('second')];
	directory.receive('other:1', list);
	assert.equal(directory.digestOf('other:1'), entriesDigest(list.toReversed()));
	clock.advance(4000);
	directory.receive('other:1', undefined);
	clock.advance(4000);
	assert.equal(directory.all.length, 2);
	clock.advance(2000);
	assert.equal(directory.all.length, 0, 'a control instance that is lost confirms nothing');
});
