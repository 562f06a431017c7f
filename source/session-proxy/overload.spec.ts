import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {type Consistency} from '../routing-table/types.js';
import {LoadedMember, LoadedMemberConnector, type MemberCapacity} from './loaded-member-fake.js';
import {avoidTimeAfterRefusal} from './read-policy.js';
import {SessionFixture, testAnnouncement} from './session-fixture.js';

/** Timeout of a statement on the route of the fixture. */
const statementTimeout: Milliseconds = 800;

/** Latency target of the route of the fixture. */
const latencyTarget: Milliseconds = 400;

type CallerOutcome = {
	readonly id: string;
	readonly askedAt: Milliseconds;
	readonly isServed: boolean;
	readonly elapsed: Milliseconds;
};

/** Callers that each send one statement, through several proxies in turn, to a group of three loaded members. */
class LoadFixture {
	readonly outcomes: CallerOutcome[] = [];
	readonly members = new Map<string, LoadedMember>();
	readonly #clock = new ManualClock();
	readonly #proxies: readonly SessionFixture[];
	#nextId = 0;

	constructor(consistency: Consistency, proxyCount: number, capacityOf: (isPrimary: boolean) => MemberCapacity) {
		for (const id of ['a', 'b', 'c']) {
			this.members.set(id, new LoadedMember(this.#clock, id === 'a', capacityOf(id === 'a')));
		}

		const connector = new LoadedMemberConnector(this.members);
		this.#proxies = Array.from({length: proxyCount}, () => new SessionFixture(consistency, connector, this.#clock));
		for (const {directory} of this.#proxies) {
			for (const id of ['b', 'c']) {
				directory.applyAnnouncement(testAnnouncement(id, {dataCentre: 'there', startedAt: 2}));
			}
		}
	}

	get primary(): LoadedMember {
		return this.members.get('a')!;
	}

	/** Sends statements at a constant rate for a duration, with every n-th of them a write. */
	async send(perSecond: number, duration: Milliseconds, writeInterval = Number.POSITIVE_INFINITY): Promise<void> {
		const step = 5;
		let owed = 0;
		for (let elapsed = 0; elapsed < duration; elapsed += step) {
			for (owed += perSecond * step / 1000; owed >= 1; owed--) {
				void this.#ask(++this.#nextId % writeInterval === 0);
			}

			await this.#clock.advanceInSteps(step, step);
		}
	}

	async #ask(isWrite: boolean): Promise<void> {
		const id = String(this.#nextId);
		const askedAt = this.#clock.now();
		const session = await this.#proxies[this.#nextId % this.#proxies.length].open();
		const reply = await session.execute(isWrite ? {kind: 'write', id, text: 'WRITE 1 x'} : {kind: 'read', id, text: 'READ 1'});
		this.outcomes.push({
			id, askedAt, isServed: reply.outcome === 'done', elapsed: this.#clock.now() - askedAt,
		});
	}
}

// Guards against slots that are spent on callers who have been refused, which keeps a member overloaded after a burst.
test('in a burst beyond the capacity of the primary no statement is sent that cannot be answered in time', async () => {
	const serviceTime = 100;
	const load = new LoadFixture('primary', 1, () => ({slots: 4, queueLimit: 32, serviceTime}));
	await load.send(20, 1000);
	await load.send(200, 2500);
	await load.send(20, 4000);
	const shortestTimeLeft = Math.min(...load.outcomes.filter(({id}) => load.primary.arrivals.has(id))
		.map(({id, askedAt}) => askedAt + statementTimeout - load.primary.arrivals.get(id)!));
	assert.ok(shortestTimeLeft >= serviceTime / 2, `a statement was sent with ${shortestTimeLeft} ms left`);
	assert.ok(load.outcomes.every(({elapsed}) => elapsed <= statementTimeout), 'nobody waits beyond the deadline');
	// The full queue of the member takes 1.8 s of the capacity that the usual load leaves.
	const late = load.outcomes.filter(({askedAt}) => askedAt >= 3500 + 1800);
	assert.ok(late.every(({isServed}) => isServed), 'everyone is served again once the queue of the burst is gone');
});

// A primary that refuses reads of load is left to the writes for much longer than a replica is avoided.
test('a refusal because of load keeps reads away from the primary for longer than from a replica', () => {
	assert.ok(avoidTimeAfterRefusal('busy', true) >= 10 * avoidTimeAfterRefusal('busy', false));
	assert.equal(avoidTimeAfterRefusal('lagging', false), avoidTimeAfterRefusal('lagging', true));
});

// Guards against reads that keep an overloaded primary from the writes, although replicas could serve them.
test('reads leave an overloaded primary to the writes while replicas have room', async () => {
	const load = new LoadFixture('readYourWrites', 12, isPrimary => ({slots: isPrimary ? 1 : 8, queueLimit: 4, serviceTime: 30}));
	await load.send(100, 1000, 12);
	await load.send(360, 2500, 12);
	await load.send(100, 1000, 12);
	const writes = load.outcomes.filter(({id}) => Number(id) % 12 === 0);
	const promptWrites = writes.filter(({isServed, elapsed}) => isServed && elapsed <= latencyTarget).length;
	const members = [...load.members.values()];
	const arrivals = members.reduce((sum, {arrivals: {size}}) => sum + size, 0);
	const refused = members.reduce((sum, member) => sum + member.refused, 0);
	assert.ok(load.outcomes.every(({isServed}) => isServed), 'every caller is served');
	assert.ok(promptWrites >= writes.length * 0.99, `${promptWrites} of ${writes.length} writes were served within the latency target`);
	assert.ok(refused < arrivals * 0.05, `${refused} of ${arrivals} arrivals were refused`);
});
