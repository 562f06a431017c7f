import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberClient, MemberClientFactory} from './member-client.js';
import {type MemberRole, type MemberStatus} from './types.js';

/** In-memory member of a database group, for tests of the controllers. */
export class FakeGroupMember {
	promisedTerm = 0;
	logTerm = 0;
	position = 0;
	appliedPosition: number | undefined;
	role: MemberRole = 'replica';
	primaryTerm = 0;
	primaryMember = '';
	leaseHolder = '';
	leaseUntil: Milliseconds = 0;
	/** Whether calls time out on connections that have served a call already; the first call on a new connection responds. */
	timesOutUsedConnections = false;
	/** Whether all calls time out, on new connections too. */
	isUnreachable = false;
	/** Time from the execution of a call to its response. */
	responseDelay: Milliseconds = 0;
	/** For each of the next calls, in order, whether it times out. */
	readonly nextCallTimeouts: boolean[] = [];
	/** Names of the received calls. */
	readonly calls: string[] = [];

	constructor(readonly name: string, private readonly clock: Clock) {}

	status(): MemberStatus {
		const {name, promisedTerm, logTerm, position, appliedPosition, role, primaryTerm, primaryMember, leaseHolder} = this;
		return {
			member: name,
			promisedTerm,
			logTerm,
			receivedPosition: position,
			appliedPosition: appliedPosition ?? position,
			role,
			primaryTerm,
			primaryMember,
			acceptingWrites: role === 'primary' && promisedTerm === primaryTerm,
			slots: 3,
			connectionLimit: 45,
			connections: 1,
			leaseHolder: this.leaseUntil > this.clock.now() ? leaseHolder : '',
			leaseRemaining: Math.max(0, this.leaseUntil - this.clock.now()),
		};
	}

	lease(holder: string, duration: Milliseconds): void {
		refuseIf(this.leaseHolder !== holder && this.leaseUntil > this.clock.now());
		this.leaseHolder = holder;
		this.leaseUntil = this.clock.now() + duration;
	}

	promise(term: number): void {
		refuseIf(term <= this.promisedTerm);
		this.promisedTerm = term;
	}

	promote(term: number): void {
		refuseIf(term !== this.promisedTerm);
		this.role = 'primary';
		this.primaryTerm = term;
		this.primaryMember = this.name;
		this.logTerm = term;
		this.position++;
	}

	follow(term: number, primary: FakeGroupMember): void {
		refuseIf(term < this.promisedTerm);
		this.promisedTerm = term;
		this.role = 'replica';
		this.primaryTerm = term;
		this.primaryMember = primary.name;
		this.logTerm = primary.logTerm;
		this.position = primary.position;
	}
}

/** In-memory database group, of three members by default. */
export class FakeGroup extends MemberClientFactory {
	readonly members: ReadonlyMap<string, FakeGroupMember>;

	constructor(private readonly clock: Clock, names: readonly string[] = ['a', 'b', 'c']) {
		super();
		this.members = new Map(names.map(name => [name, new FakeGroupMember(name, clock)]));
	}

	member(name: string): FakeGroupMember {
		return this.members.get(name)!;
	}

	/** Makes the member the primary of the term and all others its followers. */
	setPrimary(primary: string, term: number): void {
		for (const member of this.members.values()) {
			member.promise(term);
		}

		this.member(primary).promote(term);
		for (const member of this.members.values()) {
			if (member.name !== primary) {
				member.follow(term, this.member(primary));
			}
		}
	}

	override create(_database: string, member: string): MemberClient {
		return new FakeMemberClient(this.clock, this, this.member(member));
	}
}

class FakeMemberClient extends MemberClient {
	#isConnectionUnused = true;

	constructor(private readonly clock: Clock, private readonly group: FakeGroup, private readonly member: FakeGroupMember) {
		super();
	}

	override async status(timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call('status', timeout, () => undefined);
	}

	override async acquireLease(holder: string, duration: Milliseconds, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call('lease', timeout, () => {
			this.member.lease(holder, duration);
		});
	}

	override async releaseLease(_holder: string, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call('release', timeout, () => {
			this.member.leaseUntil = 0;
		});
	}

	override async promise(term: number, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call('promise', timeout, () => {
			this.member.promise(term);
		});
	}

	override async promote(term: number, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call('promote', timeout, () => {
			this.member.promote(term);
		});
	}

	override async follow(term: number, primary: string, _address: Address, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call('follow', timeout, () => {
			this.member.follow(term, this.group.member(primary));
		});
	}

	override reset(): void {
		this.#isConnectionUnused = true;
	}

	override close(): void {
		this.reset();
	}

	async #call(name: string, timeout: Milliseconds, action: () => void): Promise<MemberStatus> {
		const {member} = this;
		member.calls.push(name);
		const timesOut = member.nextCallTimeouts.shift() ?? false;
		if (timesOut || member.isUnreachable || (member.timesOutUsedConnections && !this.#isConnectionUnused)) {
			this.#isConnectionUnused = false;
			await this.clock.sleep(timeout);
			throw new BuckthornhitchError('memberUnreachable', member.name);
		}

		this.#isConnectionUnused = false;
		await Promise.resolve();
		action();
		const status = member.status();
		if (member.responseDelay > 0) {
			await this.clock.sleep(member.responseDelay);
		}

		return status;
	}
}

function refuseIf(condition: boolean): void {
	if (condition) {
		throw new BuckthornhitchError('memberRefused', 'refused');
	}
}
