import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {entriesDigest, EntryDirectory} from './entry-directory.js';
import {type EntryRecord} from './messages.js';

function entry(name: string, dataCentre = 'here'): EntryRecord {
	return {name, address: `${name}:1`, dataCentre};
}

test('an entry that stopped watching is no longer listed', () => {
	const clock = new ManualClock();
	const directory = new EntryDirectory(clock);
	directory.recordWatch(entry('first'));
	clock.advance(3000);
	directory.recordWatch(entry('second'));
	assert.deepEqual(directory.watching.map(({name}) => name), ['first', 'second']);
	clock.advance(2500);
	assert.deepEqual(directory.watching.map(({name}) => name), ['second']);
});

test('an entry that switched to another control instance is listed once', () => {
	const directory = new EntryDirectory(new ManualClock());
	directory.recordWatch(entry('first'));
	directory.updateList('other:1', [entry('first'), entry('second', 'there')]);
	assert.deepEqual(directory.all.map(({name}) => name).toSorted((left, right) => left.localeCompare(right)), ['first', 'second']);
});

// When the digest is unchanged, a control instance answers without its list, which confirms the list sent before.
test('the list of another control instance is kept while it is confirmed, and its digest ignores the order of the entries', () => {
	const clock = new ManualClock();
	const directory = new EntryDirectory(clock);
	const list = [entry('first'), entry('second')];
	directory.updateList('other:1', list);
	assert.equal(directory.digestOf('other:1'), entriesDigest(list.toReversed()));
	clock.advance(4000);
	directory.updateList('other:1', undefined);
	clock.advance(4000);
	assert.equal(directory.all.length, 2);
	clock.advance(2000);
	assert.equal(directory.all.length, 0, 'the list must expire when the control instance no longer confirms it');
});

// At 4,000 entries the whole list would have 240 KB; only entries near members can become gateways.
test('a long list for placement contains only the entries of the requester\'s data centre and of those with members', () => {
	const clock = new ManualClock();
	const directory = new EntryDirectory(clock);
	for (let index = 0; index < 10; index++) {
		directory.recordWatch(entry(`entry-${index}`, `site-${index % 5}`));
	}

	const near = (): ReadonlySet<string> => new Set(['site-0', 'site-1']);
	assert.equal(directory.listForPlacement('site-4', near).length, 10);
	directory.updateList('other:1', Array.from({length: 2000}, (_, index) => entry(`other-${index}`, `site-${index % 5}`)));
	clock.advance(100);
	const list = directory.listForPlacement('site-4', near);
	assert.equal(list.length, 1206);
	assert.deepEqual([...new Set(list.map(({dataCentre}) => dataCentre))].toSorted((left, right) => left.localeCompare(right)), ['site-0', 'site-1', 'site-4']);
	assert.equal(directory.listForPlacement('site-4', near), list, 'the list is kept for a moment, since its digest takes long to compute');
});

// A region in the digest of lists that contain none would make all entries of an earlier build request their list again.
test('the digest of a list contains the regions only where they are known', () => {
	const records = [entry('first'), entry('second')];
	assert.equal(entriesDigest(records), entriesDigest(records.map(record => ({...record, region: undefined}))));
	assert.notEqual(entriesDigest(records), entriesDigest(records.map(record => ({...record, region: 'north'}))));
});
