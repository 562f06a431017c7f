import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {encodeReachability, ReachabilityReports} from '../registry/reachability-reports.js';
import {FakeMemberConnector, FakeMemberServer, FakeReplicationStatusParser} from '../session-proxy/member-server-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {ReplicationStatusParser, type ReplicationStatus} from '../statement/replication-status.js';
import {BackendServerMonitor} from './backend-server-monitor.js';
import {PromotionAuthority, type PromotionRequest, type PromotionOutcome} from './promotion-authority.js';
import {ServicePromotionController} from './service-promotion-controller.js';

class UnparsableStatusParser extends ReplicationStatusParser {
	override parse(): ReplicationStatus | undefined {
		return undefined;
	}
}

type FixtureOptions = {
	readonly outcomes?: PromotionOutcome[];
	/** Number of synchronous replicas; the members report their statuses if there are any. */
	readonly synchronousReplicas?: number;
};

class FakeAuthority extends PromotionAuthority {
	readonly requests: PromotionRequest[] = [];

	constructor(private readonly outcomes: PromotionOutcome[], private readonly onPromoted: (member: string) => void) {
		super();
	}

	override async promote(request: PromotionRequest): Promise<PromotionOutcome> {
		this.requests.push(request);
		const outcome = this.outcomes.shift() ?? 'designated';
		if (outcome === 'designated') {
			this.onPromoted(request.member);
		}

		return outcome;
	}
}

class Fixture {
	readonly clock = new ManualClock();
	readonly reports = new ReachabilityReports(this.clock);
	readonly members = ['a', 'b', 'c'].map(id => new FakeMemberServer({...testAnnouncement(id, {role: id === 'a' ? 'primary' : 'replica'}), isGone: false}));
	readonly authority: FakeAuthority;
	readonly #directory = new BackendDirectory(this.clock);
	readonly #monitor = new BackendServerMonitor(this.clock, this.#directory, new FakeMemberConnector(this.members), () => true);
	readonly #controller: ServicePromotionController;
	#token = 0;

	constructor({outcomes = [], synchronousReplicas = 0}: FixtureOptions = {}) {
		this.members[0].role = 'primary';
		this.members[0].point = {term: 1, position: 9};
		this.members[1].point = {term: 1, position: 7};
		this.members[2].point = {term: 1, position: 8};
		this.authority = new FakeAuthority(outcomes, id => {
			for (const member of this.members) {
				member.role = member.server.id === id ? 'primary' : 'replica';
			}
		});
		this.#controller = new ServicePromotionController({
			name: 'one',
			clock: this.clock,
			logger: silentLogger,
			directory: this.#directory,
			monitor: this.#monitor,
			reports: this.reports,
			authority: this.authority,
			statusParser: synchronousReplicas > 0 ? new FakeReplicationStatusParser() : new UnparsableStatusParser(),
			table: () => ({
				version: 1, routes: [], services: [{name: 'ledger', connectionLimit: 9, synchronousReplicas}], idleTransactionLimit: 0,
			}),
			isLeader: () => true,
			issueToken: async () => ++this.#token,
		});
		this.#monitor.start();
		this.announce();
		this.#controller.start();
	}

	/** Announces the members, the given one as leaving. */
	announce(leaving?: string, sequence = 1): void {
		for (const {server} of this.members) {
			this.#directory.applyAnnouncement({...server, sequence, isLeaving: server.id === leaving});
		}
	}

	/** Marks a member as gone. */
	markGone(id: string): void {
		this.#directory.markGone(id);
	}

	/** Advances the clock while ten entry processes report whether they reach the primary; the given number of them fail to. */
	async advance(duration: number, failing: number): Promise<void> {
		for (let passed = 0; passed < duration; passed += 100) {
			for (let entry = 0; entry < 10; entry++) {
				this.reports.receive(`entry ${entry}`, 'entry', encodeReachability([{id: 'a', answeredAgo: 100, failingFor: entry < failing ? 700 : 0}]));
			}

			await this.clock.advanceInSteps(100, 10);
		}
	}

	stop(): void {
		this.#controller.stop();
		this.#monitor.stop();
	}
}

// A network fault between the leader and the primary alone must not cause a promotion: the primary may still acknowledge writes.
test('a primary that most entry processes reach is not replaced, although the leader does not reach it', async () => {
	const fixture = new Fixture();
	await fixture.advance(1000, 0);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(3000, 1);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests, []);
});

// Promoting a replica that is further behind would lose writes.
test('a lost primary is replaced by the replica with the highest received log position', async () => {
	const fixture = new Fixture();
	await fixture.advance(1000, 0);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(2500, 10);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests.map(request => request.member), ['c']);
});

// An unanswered request may be carried out late; a higher token in the repeated request invalidates it.
test('a promotion request without an answer is repeated soon with a higher fencing token', async () => {
	const fixture = new Fixture({outcomes: ['unknown', 'unknown']});
	await fixture.advance(1000, 0);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(3000, 10);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests.map(request => request.token), [1, 2, 3]);
});

// Writes that the old primary still accepted after the choice of its successor would be lost.
test('a leaving primary is demoted before another member is promoted', async () => {
	const fixture = new Fixture();
	await fixture.advance(1000, 0);
	fixture.announce('a', 2);
	await fixture.advance(4000, 0);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests.map(request => request.member), ['c']);
	assert.ok(fixture.members[0].receivedKinds.includes('demote'));
});

// A replica that was leaving was passed over, and the one that lacked the acknowledged commits was promoted.
test('with synchronous replicas, a lost primary is replaced by the replica that holds all commits, although it is leaving', async () => {
	const fixture = new Fixture({synchronousReplicas: 1});
	fixture.members[2].point = {term: 1, position: 9};
	await fixture.advance(1000, 0);
	fixture.announce('c', 2);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(2500, 10);
	fixture.stop();
	assert.equal(fixture.authority.requests.at(0)?.member, 'c');
});

// The replica that left may alone hold an acknowledged commit, until a successor at its address has its log.
test('with synchronous replicas, no replica is promoted while the log of another one is not known', async () => {
	const fixture = new Fixture({synchronousReplicas: 1});
	await fixture.advance(1000, 0);
	fixture.markGone('c');
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(2500, 10);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests, []);
	assert.equal(fixture.members[1].receivedKinds.at(-1), 'resume', 'the replica receives again if the primary is back');
});

// A primary that did not answer the demotion was replaced by the highest log that happened to answer.
test('with synchronous replicas, a leaving primary that no replica has caught up with stays the primary', async () => {
	const fixture = new Fixture({synchronousReplicas: 1});
	await fixture.advance(1000, 0);
	fixture.announce('a', 2);
	await fixture.advance(3000, 0);
	assert.deepEqual([...new Set(fixture.authority.requests.map(({member}) => member))], ['a']);
	fixture.members[1].point = {term: 1, position: 9};
	await fixture.advance(3000, 0);
	fixture.stop();
	assert.equal(fixture.authority.requests.at(-1)?.member, 'b');
});

// The term of the last log entry was taken for that of the primary. A promoted member leads a later one, so that its replicas ignored PAUSE and went on receiving, and it ignored DEMOTE and went on writing.
test('replicas are paused and a leaving primary is demoted in a term above the one that the primary leads', async () => {
	for (const isLeaving of [false, true]) {
		const fixture = new Fixture({synchronousReplicas: 1});
		for (const member of fixture.members) {
			member.point = {term: 1, position: 9};
			member.knownTerm = 7;
		}

		await fixture.advance(1000, 0);
		if (isLeaving) {
			fixture.announce('a', 2);
		} else {
			fixture.members[0].isUnresponsive = true;
		}

		await fixture.advance(2500, isLeaving ? 0 : 10);
		fixture.stop();
		const statements = fixture.members.flatMap(({received}) => received).flatMap(({statement}) => statement.kind === 'pause' || statement.kind === 'demote' ? [statement] : []);
		assert.deepEqual(statements[0], {kind: isLeaving ? 'demote' : 'pause', term: 8});
		assert.equal(fixture.authority.requests.length, 1);
	}
});
