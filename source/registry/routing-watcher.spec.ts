import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {ManualClock} from '../clock/manual-clock.js';
import {createLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {routingDigest, sortRoutes, type RoutingTableVersion} from '../routing-table/routing-difference.js';
import {type Route, type RoutingTable} from '../routing-table/types.js';
import {type ControlRecord, type WatchRequest, type WatchResponse} from './messages.js';
import {NarrowLinkClient} from './narrow-link-fixture.js';
import {RoutingHistory} from './routing-history.js';
import {type RoutingPieceRequest} from './routing-transfer.js';
import {RoutingWatcher} from './routing-watcher.js';

/** Bytes per second of the narrowest links in use, 2 Mbit/s. */
const linkBytesPerSecond = 250_000;

/** Time within which a configuration must be in force everywhere. */
const configurationTimeLimit = 5000;

/** Longest time for which a reply to a caller may wait behind control messages. */
const replyDelayLimit = 100;

const random = new SeededRandom(7);

function route(): Route {
	const name = random.integerBelow(2 ** 31).toString(36);
	return {
		name: `r-${name}`, database: `db${name}`, pathPrefix: '/', service: 'ledger', consistency: 'primary', statementTimeout: 800, latencyTarget: 400, priority: 1, maximumStaleness: 0,
	};
}

function routes(count: number): readonly Route[] {
	return Array.from({length: count}, route);
}

function table(version: number, tableRoutes: readonly Route[]): RoutingTable {
	return {
		version, routes: tableRoutes, services: [{name: 'ledger', connectionLimit: 10, synchronousReplicas: 0}], idleTransactionLimit: 0,
	};
}

function digestOf(accepted: RoutingTable): string {
	return routingDigest({...accepted, routes: sortRoutes(accepted.routes)});
}

/** Control instance that answers watchers as a registry process does. */
class ControlFake {
	readonly history = new RoutingHistory();
	isDown = false;
	/** Whether the digest that it tells for its newest table is another one than that of the table which arrives. */
	isDigestWrong = false;
	watchRequests = 0;
	pieceRequests = 0;
	leaderSilence = 0;

	constructor(readonly record: ControlRecord, private readonly all: () => readonly ControlRecord[]) {}

	handle(name: string, body: unknown): unknown {
		if (this.isDown) {
			return undefined;
		}

		if (name === 'fetchRouting') {
			this.pieceRequests++;
			const piece = this.history.piece(body as RoutingPieceRequest);
			return piece && {...piece, target: {...piece.target, digest: this.#digestOf(piece.target)}};
		}

		this.watchRequests++;
		const newest = this.history.newest && {...this.history.newest, digest: this.#digestOf(this.history.newest)};
		return {
			controls: this.all(),
			controlsDigest: 'all',
			leaderSilence: this.leaderSilence,
			routing: undefined,
			newestRouting: newest?.digest === (body as WatchRequest).routingDigest ? undefined : newest,
			directoryId: 'directory',
			directoryVersion: 0,
			changedServers: [],
			silentServers: [],
			primaries: [],
			entries: undefined,
			entryCount: 1,
			entryDataCentres: 1,
			knowsEntries: true,
		} satisfies WatchResponse;
	}

	#digestOf({digest}: RoutingTableVersion): string {
		return this.isDigestWrong ? 'another digest' : digest;
	}
}

function control(name: string, dataCentre: string, region: string): ControlRecord {
	return {
		name, diskId: `disk-${name}`, address: `${name}:1`, controlAddress: `${name}:2`, dataCentre, region, group: 'group', mayBootstrap: false,
	};
}

/** A watcher in one data centre and three control instances: in its data centre, in its region and elsewhere. */
class WatcherFixture {
	readonly clock = new ManualClock();
	readonly link = new NarrowLinkClient(this.clock, linkBytesPerSecond, 24);
	readonly controls: readonly ControlFake[];
	readonly tables: RoutingTable[] = [];
	readonly logLines: string[] = [];
	longestReplyDelay = 0;
	readonly #watcher: RoutingWatcher;

	constructor() {
		const records = [control('far', 'other', 'other'), control('near', 'beside', 'region'), control('local', 'here', 'region')];
		this.controls = records.map(record => new ControlFake(record, () => records));
		for (const fake of this.controls) {
			this.link.handlers.set(fake.record.address, (name, body) => fake.handle(name, body));
		}

		this.#watcher = new RoutingWatcher({
			self: {name: 'entry', address: 'entry:1', dataCentre: 'here'},
			region: 'region',
			clock: this.clock,
			random: new SeededRandom(1),
			logger: createLogger('entry', 'watcher', 'info', {
				write: line => {
					this.logLines.push(line);
				},
			}),
			linkClient: this.link,
			directory: new BackendDirectory(this.clock),
			seeds: () => records.map(({address}) => address),
			reachability: () => [],
			onRoutingTable: newTable => {
				this.tables.push(newTable);
			},
			onPrimaryReports() {
				// No service is watched here.
			},
		});
		this.#watcher.start();
	}

	get rejectedVersion(): number | undefined {
		return this.#watcher.rejectedRoutingVersion;
	}

	get pieceRequestCount(): number {
		return this.controls.reduce((sum, {pieceRequests}) => sum + pieceRequests, 0);
	}

	accept(newTable: RoutingTable): void {
		for (const {history} of this.controls) {
			history.add(newTable);
		}
	}

	async run(duration: number): Promise<void> {
		for (let elapsed = 0; elapsed < duration; elapsed += 5) {
			await this.clock.advanceInSteps(5, 5);
			this.longestReplyDelay = Math.max(this.longestReplyDelay, this.link.queueingDelay);
		}
	}

	/** Digest of the table in force. */
	get digest(): string | undefined {
		const newest = this.tables.at(-1);
		return newest && routingDigest(newest);
	}
}

/** Control instances from nearest to farthest. */
function byDistance(fixture: WatcherFixture): readonly ControlFake[] {
	return fixture.controls.toReversed();
}

// Guards against the collapse of an entry whose link is filled by whole documents that it gives up on and requests again.
test('on a link of 2 Mbit/s a table that grows by 1,200 routes and changes every 300 ms is in force in time and delays no reply to a caller', async () => {
	const fixture = new WatcherFixture();
	let current = table(1, routes(300));
	fixture.accept(current);
	await fixture.run(3000);
	assert.equal(fixture.digest, digestOf(current));
	const bytesBefore = fixture.link.receivedBytes;
	current = table(2, [...current.routes, ...routes(1200)]);
	fixture.accept(current);
	for (let change = 0; change < 30; change++) {
		await fixture.run(300);
		current = table(current.version + 1, [...current.routes.slice(1), route()]);
		fixture.accept(current);
	}

	await fixture.run(configurationTimeLimit);
	assert.equal(fixture.digest, digestOf(current));
	const addedRouteBytes = Buffer.byteLength(JSON.stringify(current.routes.slice(-1200)));
	const received = fixture.link.receivedBytes - bytesBefore;
	assert.ok(received < addedRouteBytes, `${received} bytes for a difference of ${addedRouteBytes} bytes of JSON and 30 small ones`);
	assert.ok(fixture.longestReplyDelay <= replyDelayLimit, `a reply waited ${fixture.longestReplyDelay} ms`);
	const versions = fixture.tables.map(({version}) => version);
	assert.deepEqual(versions, versions.toSorted((first, second) => first - second), 'no older version follows a newer one');
});

// Operators read "9007199254740991 ms" and "version -1" as faults of the clock and of the configuration.
test('a missing leader and a missing routing table are logged in words', async () => {
	const fixture = new WatcherFixture();
	const [local] = byDistance(fixture);
	fixture.accept(table(1, routes(10)));
	await fixture.run(3000);
	local.leaderSilence = Number.MAX_SAFE_INTEGER;
	await fixture.run(1000);
	const text = fixture.logLines.join('');
	assert.match(text, /routing version 1 is in force, replacing none/v);
	assert.match(text, /switching from control instance local:1 to another one: it knows no leader/v);
	assert.doesNotMatch(text, /9007199254740991|version -1/v);
});

test('a transfer that its control instance does not finish continues at another one', async () => {
	const fixture = new WatcherFixture();
	const [local, near] = byDistance(fixture);
	fixture.accept(table(1, routes(10)));
	await fixture.run(3000);
	const grown = table(2, [...fixture.tables[0].routes, ...routes(1200)]);
	const pieceOffsets: number[] = [];
	fixture.accept(grown);
	fixture.link.handlers.set(local.record.address, (name, body) => {
		local.isDown ||= name === 'fetchRouting' && (body as RoutingPieceRequest).offset > 0;
		return local.handle(name, body);
	});
	fixture.link.handlers.set(near.record.address, (name, body) => {
		if (name === 'fetchRouting') {
			pieceOffsets.push((body as RoutingPieceRequest).offset);
		}

		return near.handle(name, body);
	});
	await fixture.run(configurationTimeLimit);
	assert.equal(fixture.digest, digestOf(grown));
	assert.ok(pieceOffsets[0] > 0, `the second instance was asked from byte ${pieceOffsets[0]} on`);
});

// Guards against a transfer of several pieces that starts over with each piece, since the entry goes on to name the table that it holds.
test('a table is fetched as a whole from an instance that does not know the one held', async () => {
	const fixture = new WatcherFixture();
	fixture.accept(table(1, routes(1200)));
	await fixture.run(3000);
	const [local] = byDistance(fixture);
	const changed = table(2, [...fixture.tables[0].routes, route()]);
	const restarted = new RoutingHistory();
	restarted.add(changed);
	fixture.link.handlers.set(local.record.address, (name, body) => {
		if (name === 'fetchRouting') {
			return restarted.piece(body as RoutingPieceRequest);
		}

		return {...local.handle(name, body) as WatchResponse, newestRouting: restarted.newest};
	});
	await fixture.run(2000);
	assert.equal(fixture.digest, digestOf(changed));
});

// Operators insert routes anywhere in a document; the tables have them in one order, so that a difference stays small.
test('routes in another order are the same table', async () => {
	const fixture = new WatcherFixture();
	const first = table(1, routes(1200));
	fixture.accept(first);
	await fixture.run(3000);
	const bytesBefore = fixture.link.receivedBytes;
	const reordered = table(2, [route(), ...first.routes.toReversed()]);
	fixture.accept(reordered);
	await fixture.run(1000);
	assert.equal(fixture.tables.at(-1)?.version, 2);
	assert.equal(fixture.digest, digestOf(reordered));
	assert.ok(fixture.link.receivedBytes - bytesBefore < 10_000);
});

// Guards against bytes that cross regions once for each entry.
test('an entry watches the nearest control instance that answers', async () => {
	const fixture = new WatcherFixture();
	const [local, near, far] = byDistance(fixture);
	fixture.accept(table(1, routes(10)));
	await fixture.run(4000);
	const requestsBefore = [local, near, far].map(({watchRequests}) => watchRequests);
	await fixture.run(2000);
	assert.deepEqual([near.watchRequests, far.watchRequests], requestsBefore.slice(1));
	assert.ok(local.watchRequests > requestsBefore[0]);
	local.isDown = true;
	await fixture.run(4000);
	assert.equal(far.watchRequests, requestsBefore[2], 'the instance of the same region comes before one elsewhere');
	assert.ok(near.watchRequests > requestsBefore[1]);
});

// Guards against a crowd of entries that fill their links and those of the control instances with requests while none of these answers.
test('requests become rarer while no control instance answers, and frequent again afterwards', async () => {
	const fixture = new WatcherFixture();
	fixture.accept(table(1, routes(10)));
	await fixture.run(3000);
	const unansweredBefore = fixture.link.unansweredRequests;
	for (const fake of fixture.controls) {
		fake.isDown = true;
	}

	await fixture.run(20_000);
	const unanswered = fixture.link.unansweredRequests - unansweredBefore;
	assert.ok(unanswered < 20, `${unanswered} requests in 20 s without an answer`);
	const changed = table(2, routes(10));
	fixture.accept(changed);
	for (const fake of fixture.controls) {
		fake.isDown = false;
	}

	await fixture.run(configurationTimeLimit);
	assert.equal(fixture.digest, digestOf(changed));
});

// An entry instance asked for such a version several times a second, for good.
test('a version that does not arrive unchanged is rejected once, and the one that is held stays in force until the next', async () => {
	const fixture = new WatcherFixture();
	fixture.accept(table(1, routes(10)));
	await fixture.run(2000);
	for (const fake of fixture.controls) {
		fake.isDigestWrong = true;
	}

	fixture.accept(table(2, routes(10)));
	const before = fixture.pieceRequestCount;
	await fixture.run(60_000);
	assert.deepEqual(fixture.tables.map(({version}) => version), [1]);
	assert.equal(fixture.rejectedVersion, 2);
	assert.equal(fixture.logLines.filter(line => line.includes('does not arrive as the control instances hold it')).length, 1);
	assert.ok(fixture.pieceRequestCount - before <= 12, `${fixture.pieceRequestCount - before} pieces were requested in a minute`);
	for (const fake of fixture.controls) {
		fake.isDigestWrong = false;
	}

	fixture.accept(table(3, routes(10)));
	await fixture.run(2000);
	assert.deepEqual(fixture.tables.map(({version}) => version), [1, 3]);
	assert.equal(fixture.rejectedVersion, undefined);
});

// An entry instance that started again served nothing, also not the databases that earlier versions had.
test('an instance that holds no table takes over one that does not arrive unchanged', async () => {
	const fixture = new WatcherFixture();
	for (const fake of fixture.controls) {
		fake.isDigestWrong = true;
	}

	const only = table(2, routes(10));
	fixture.accept(only);
	await fixture.run(5000);
	assert.deepEqual(fixture.tables.map(taken => digestOf(taken)), [digestOf(only)]);
	assert.equal(fixture.rejectedVersion, 2);
	assert.equal(fixture.logLines.filter(line => line.includes('it is put in force all the same')).length, 1);
});
