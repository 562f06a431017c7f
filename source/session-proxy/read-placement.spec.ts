import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendAnnouncement} from '../backend-directory/types.js';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {CustomerDirectory} from '../customers/customer-directory.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {type Route} from '../routing-table/types.js';
import {type StatementReply} from '../statement/types.js';
import {CallerOperation} from './caller-operation.js';
import {FakeMemberConnector, FakeMemberServer, FakeReplicationStatusParser} from './member-server-fake.js';
import {ServiceClient} from './service-client.js';
import {SessionContext} from './session-context.js';
import {testAnnouncement} from './session-fixture.js';
import {SessionReadExecutor} from './session-read-executor.js';

const route: Route = {
	name: 'route', database: 'db', pathPrefix: '/', service: 'ledger', consistency: 'boundedStaleness', statementTimeout: 800, latencyTarget: 400, priority: 1, maximumStaleness: 5000,
};

/** Reads of one service with a primary `a` and the replicas `b` in another data centre and `c`, which reads prefer. */
class PlacementFixture {
	readonly clock = new ManualClock();
	readonly logLines: string[] = [];
	readonly client: ServiceClient;
	readonly members: ReadonlyMap<string, FakeMemberServer>;
	readonly #directory = new BackendDirectory(this.clock);
	readonly #context: SessionContext;
	readonly #executor: SessionReadExecutor;
	#readCount = 0;

	constructor() {
		const announcements = [testAnnouncement('a', {role: 'primary'}), testAnnouncement('b', {dataCentre: 'there'}), testAnnouncement('c')];
		this.members = new Map(announcements.map(announcement => [announcement.id, new FakeMemberServer({...announcement, isGone: false})]));
		this.members.get('a')!.role = 'primary';
		for (const announcement of announcements) {
			this.#directory.applyAnnouncement(announcement);
		}

		const record = (text: string): void => {
			this.logLines.push(text);
		};

		this.client = new ServiceClient({
			service: 'ledger',
			clock: this.clock,
			logger: {...silentLogger, info: record, warn: record},
			directory: this.#directory,
			connector: new FakeMemberConnector([...this.members.values()]),
			statusParser: new FakeReplicationStatusParser(),
			dataCentre: 'here',
			maximumConnections: () => 20,
			random: new SeededRandom(3),
		});
		this.#context = new SessionContext('s', {database: 'db', keyDigest: ''}, {
			clock: this.clock,
			dataCentre: 'here',
			requestLog: {record: () => undefined, explain: () => undefined},
			table: () => undefined,
			route: () => route,
			client: () => this.client,
			customers: () => new CustomerDirectory({}),
		});
		this.#executor = new SessionReadExecutor(this.#context);
	}

	/** Announces a member. */
	announce(announcement: BackendAnnouncement): void {
		this.#directory.applyAnnouncement(announcement);
		this.client.refresh();
	}

	/** Sends reads one after the other, with the time between them, and returns how many each member received. */
	async read(count: number, period: Milliseconds): Promise<Readonly<Record<string, number>>> {
		const before = this.#receivedReads();
		for (let sent = 0; sent < count; sent++) {
			void this.startRead();
			await this.clock.advanceInSteps(period, 5);
		}

		return Object.fromEntries([...this.#receivedReads()].map(([id, received]) => [id, received - (before.get(id) ?? 0)]));
	}

	/** Starts one read. */
	async startRead(): Promise<StatementReply> {
		const id = String(++this.#readCount);
		const now = this.clock.now();
		return this.#executor.read({
			request: {
				id, access: 'read', preparedStatement: undefined, createStatement: after => ({
					kind: 'read', id, text: 'READ 1', after,
				}),
			},
			operation: new CallerOperation(this.#context, id),
			route,
			client: this.client,
			arrivedAt: now,
			deadline: now + 780,
		});
	}

	/** Returns how many lines were logged that match the pattern. */
	countLines(pattern: RegExp): number {
		return this.logLines.filter(line => pattern.test(line)).length;
	}

	#receivedReads(): ReadonlyMap<string, number> {
		return new Map([...this.members].map(([id, {receivedKinds}]) => [id, receivedKinds.filter(kind => kind === 'read').length]));
	}
}

// Guards the order of reads in a deployment that has only members in usual operation.
test('members that are known from the beginning do not recover', async () => {
	const fixture = new PlacementFixture();
	assert.deepEqual(await fixture.read(20, 5), {a: 0, b: 0, c: 20});
	assert.equal(fixture.client.placement.recoveryCount, 0);
});

// Without a share, the restarted member would receive every read at once, since it has no load and no reply time.
test('a restarted member gets a small share of its reads first, and all of them after it has kept the pace', async () => {
	const fixture = new PlacementFixture();
	await fixture.read(20, 5);
	await fixture.clock.advanceInSteps(2000, 100);
	fixture.announce(testAnnouncement('c', {startedAt: 2}));
	assert.equal(fixture.client.placement.recoveringCount, 1);
	const first = await fixture.read(20, 5);
	assert.ok(first.c <= 5, `${first.c} of the first 20 reads`);
	assert.equal(first.a + first.b + first.c, 20);
	await fixture.read(200, 5);
	assert.deepEqual(await fixture.read(20, 5), {a: 0, b: 0, c: 20});
	assert.equal(fixture.client.placement.recoveringCount, 0);
	assert.equal(fixture.countLines(/c recovers \(started\)/v), 1);
	assert.equal(fixture.countLines(/c has recovered/v), 1);
});

// The time in which a member does not answer must not count as a time without traffic, which raises the share.
test('a member that was unreachable for long resumes with a small share', async () => {
	const fixture = new PlacementFixture();
	const member = fixture.members.get('c')!;
	await fixture.read(20, 5);
	member.isUnresponsive = true;
	await fixture.read(5, 1000);
	assert.equal(fixture.client.poolOf('c')?.isFailing, true);
	member.isUnresponsive = false;
	fixture.client.probeFailingMembers();
	await fixture.clock.advanceInSteps(600, 5);
	fixture.client.probeFailingMembers();
	assert.ok(fixture.client.placement.recoveryShareOf('c') <= 1 / 4);
	assert.equal(fixture.countLines(/c recovers \(resumed\)/v), 1);
});

test('a promoted member recovers, and the primary that is found first does not', async () => {
	const fixture = new PlacementFixture();
	await fixture.read(5, 5);
	assert.equal(fixture.client.placement.recoveringCount, 0);
	fixture.client.recordPrimaryPosition('b', {term: 2, position: 2}, fixture.clock.now());
	assert.equal(fixture.countLines(/b recovers \(promoted\)/v), 1);
	assert.equal(fixture.client.placement.recoveryShareOf('b'), 1 / 4);
});

// The member answers, so that it is never taken for unreachable, and its empty load makes it the first choice.
test('a member that fails part of its reads is ejected, is used again with a small share, and is logged', async () => {
	const fixture = new PlacementFixture();
	await fixture.read(20, 5);
	const member = fixture.members.get('c')!;
	for (let count = 0; count < 40; count++) {
		if (count % 2 === 0) {
			member.refusals.push('failed');
		}

		await fixture.read(1, 10);
	}

	assert.equal(fixture.client.placement.isEjected('c'), true);
	assert.equal(fixture.countLines(/c is ejected from reads for 1000 ms/v), 1);
	member.refusals.splice(0);
	const {c: whileEjected} = await fixture.read(10, 10);
	assert.equal(whileEjected, 0);
	await fixture.clock.advanceInSteps(1000, 100);
	const {c} = await fixture.read(10, 10);
	assert.ok(c <= 3, `${c} of 10 reads`);
	assert.equal(fixture.countLines(/c recovers \(readmitted\)/v), 1);
	await fixture.read(150, 10);
	const {c: atLast} = await fixture.read(10, 10);
	assert.equal(atLast, 10);
});

// Writes have nowhere else to go, and an ejection would not help them.
test('a primary that fails its requests is reported and not ejected', async () => {
	const fixture = new PlacementFixture();
	await fixture.read(30, 5);
	for (let count = 0; count < 20; count++) {
		fixture.client.placement.recordRequest('a', true);
	}

	assert.equal(fixture.client.placement.isEjected('a'), false);
	assert.equal(fixture.client.placement.failingPrimaryCount, 1);
	assert.equal(fixture.countLines(/the primary a fails its requests/v), 1);
});
