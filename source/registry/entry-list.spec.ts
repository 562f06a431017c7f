import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {ManualClock} from '../clock/manual-clock.js';
import {LinkClient} from '../links/link-client.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {entriesDigest} from './entry-directory.js';
import {type EntryRecord, type WatchRequest, type WatchResponse} from './messages.js';
import {RoutingWatcher} from './routing-watcher.js';

const entries: readonly EntryRecord[] = [
	{
		name: 'self', address: 'self:1', dataCentre: 'here', region: 'north',
	},
	{
		name: 'beside', address: 'beside:1', dataCentre: 'here', region: 'north',
	},
	{
		name: 'far', address: 'far:1', dataCentre: 'there', region: 'south',
	},
];

/** Control instance that sends lists of entries as a registry process does. */
class EntryListControl extends LinkClient {
	readonly requests: WatchRequest[] = [];
	/** Whether the instance is of a build that does not know `wantsAllEntries`. */
	isOfEarlierBuild = false;

	override async request(_address: string, _name: string, body: unknown): Promise<unknown> {
		const request = body as WatchRequest;
		this.requests.push(request);
		const isAllSent = !this.isOfEarlierBuild && request.wantsAllEntries === true;
		const sent = isAllSent ? entries : entries.filter(({dataCentre}) => dataCentre === 'here');
		return {
			controls: undefined,
			controlsDigest: '',
			leaderSilence: 0,
			routing: undefined,
			newestRouting: undefined,
			directoryId: 'directory',
			directoryVersion: 0,
			changedServers: [],
			silentServers: [],
			primaries: [],
			entries: entriesDigest(sent) === request.entriesDigest ? undefined : sent,
			...(isAllSent && {coversAllEntries: true}),
			entryCount: entries.length,
			entryDataCentres: 2,
			knowsEntries: true,
		} satisfies WatchResponse;
	}

	override notify(): void {
		// No notices are sent here.
	}
}

class EntryListFixture {
	readonly clock = new ManualClock();
	readonly control = new EntryListControl();
	readonly watcher: RoutingWatcher;
	wantsAllEntries = false;

	constructor() {
		this.watcher = new RoutingWatcher({
			self: {name: 'self', address: 'self:1', dataCentre: 'here'},
			region: 'north',
			clock: this.clock,
			random: new SeededRandom(1),
			logger: silentLogger,
			linkClient: this.control,
			directory: new BackendDirectory(this.clock),
			seeds: () => ['control:1'],
			reachability: () => [],
			wantsAllEntries: () => this.wantsAllEntries,
			onRoutingTable() {
				// No routing table is sent here.
			},
			onPrimaryReports() {
				// No service is watched here.
			},
		});
		this.watcher.start();
	}
}

const names = (records: readonly EntryRecord[] | undefined): readonly string[] | undefined => records?.map(({name}) => name);

// With a list of the local data centre, 4 entries of every data centre would take themselves for gateways.
test('the entries of all data centres are requested only when needed, and unknown until they were sent', async () => {
	const fixture = new EntryListFixture();
	await fixture.clock.advanceInSteps(600, 5);
	assert.deepEqual(names(fixture.watcher.entries), ['self', 'beside']);
	assert.equal(fixture.watcher.allEntries, undefined);
	assert.ok(fixture.control.requests.every(request => !('wantsAllEntries' in request) && !('region' in request.self)), 'nothing is added to the messages');
	fixture.wantsAllEntries = true;
	assert.equal(fixture.watcher.allEntries, undefined);
	await fixture.clock.advanceInSteps(600, 5);
	assert.deepEqual(names(fixture.watcher.allEntries), ['self', 'beside', 'far']);
	assert.deepEqual(names(fixture.watcher.entries), ['self', 'beside']);
	assert.equal(fixture.control.requests.at(-1)?.self.region, 'north');
	fixture.wantsAllEntries = false;
	await fixture.clock.advanceInSteps(600, 5);
	assert.equal(fixture.watcher.allEntries, undefined);
	assert.deepEqual(names(fixture.watcher.entries), ['self', 'beside']);
});

test('a list of the local data centre from a control instance of an earlier build does not count as that of all', async () => {
	const fixture = new EntryListFixture();
	fixture.wantsAllEntries = true;
	fixture.control.isOfEarlierBuild = true;
	await fixture.clock.advanceInSteps(600, 5);
	assert.equal(fixture.watcher.allEntries, undefined);
	assert.deepEqual(names(fixture.watcher.entries), ['self', 'beside']);
});
