import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {ManualClock} from '../clock/manual-clock.js';
import {compareLogPositions, earlierLogPosition, initialLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {silentLogger} from '../observability/logger.js';
import {encodeReachability, ReachabilityReports} from '../registry/reachability-reports.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {RoutingStateMachine} from '../routing-table/routing-state-machine.js';
import {FakeMemberConnector, FakeMemberServer, FakeReplicationStatusParser} from '../session-proxy/member-server-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {ReplicationStatusParser, type ReplicationStatus} from '../statement/replication-status.js';
import {BackendServerMonitor} from './backend-server-monitor.js';
import {type PendingPromotion} from './pending-promotions.js';
import {PromotionAuthority, type PromotionRequest, type PromotionOutcome} from './promotion-authority.js';
import {ServicePromotionController} from './service-promotion-controller.js';

class UnparsableStatusParser extends ReplicationStatusParser {
	override parse(): ReplicationStatus | undefined {
		return undefined;
	}
}

type PromotionFixtureOptions = {
	readonly outcomes?: PromotionOutcome[];
	/** Number of synchronous replicas; the members report their statuses if there are any. */
	readonly synchronousReplicas?: number;
	/** Replaces the connector of the in-memory members. */
	readonly connector?: (members: readonly FakeMemberServer[]) => MemberConnector;
	readonly statusParser?: ReplicationStatusParser;
};

/** Authority that carries out the requests which it answers at once, and the others when the test says so. */
class FakeAuthority extends PromotionAuthority {
	readonly requests: PromotionRequest[] = [];
	/** Whether requests get no answer. */
	isSilent = false;
	/** Called before a request is handled. */
	beforeRequest: ((request: PromotionRequest) => void) | undefined;
	#highestToken = 0;

	constructor(private readonly outcomes: PromotionOutcome[], private readonly onPromoted: (member: string) => void) {
		super();
	}

	override async promote(request: PromotionRequest): Promise<PromotionOutcome> {
		this.requests.push(request);
		this.beforeRequest?.(request);
		const outcome = this.outcomes.shift() ?? (this.isSilent ? 'unknown' : 'designated');
		return outcome === 'designated' ? this.carryOut(request) : outcome;
	}

	/** Carries out a request unless one with a higher token was carried out. */
	carryOut({member, token}: PromotionRequest): PromotionOutcome {
		if (token < this.#highestToken) {
			return 'refused';
		}

		this.#highestToken = token;
		this.onPromoted(member);
		return 'designated';
	}
}

type Leader = {
	readonly monitor: BackendServerMonitor;
	readonly controller: ServicePromotionController;
};

/** Promotion controllers of successive leaders with an in-memory primary `a` and the replicas `b` and `c`. */
export class PromotionFixture {
	readonly clock = new ManualClock();
	readonly reports = new ReachabilityReports(this.clock);
	readonly members = ['a', 'b', 'c'].map(id => new FakeMemberServer({...testAnnouncement(id, {role: id === 'a' ? 'primary' : 'replica'}), isGone: false}));
	readonly authority: FakeAuthority;
	/** Replicas that receive no log entries. */
	readonly deafMembers = new Set<string>();
	/** Replicas that receive each log entry one commit later than the others. */
	readonly slowMembers = new Set<string>();
	/** Number of synchronous replicas that the routing table demands. */
	synchronousReplicas: number;
	/** Whether a transaction is committed in each 100 ms. */
	isCommitting = false;
	/** Last log position that was acknowledged to a caller. */
	acknowledged: LogPosition = initialLogPosition;
	/** Members that were promoted without an acknowledged commit. */
	readonly promotedWithLoss: string[] = [];
	/** Resolves before a leader gets the token that it has asked for. */
	tokenBarrier: Promise<void> = Promise.resolve();
	readonly #directory = new BackendDirectory(this.clock);
	readonly #leaders: Leader[] = [];
	readonly #controlLog = new RoutingStateMachine();
	readonly #options: PromotionFixtureOptions;
	readonly #connector = new FakeMemberConnector(this.members);
	#leader = '';
	#leaving: string | undefined;
	#sequence = 0;
	#token = 0;

	constructor(options: PromotionFixtureOptions = {}) {
		this.#options = options;
		this.synchronousReplicas = options.synchronousReplicas ?? 0;
		this.members[0].role = 'primary';
		this.members[0].point = {term: 1, position: 9};
		this.members[1].point = {term: 1, position: 7};
		this.members[2].point = {term: 1, position: 8};
		this.authority = new FakeAuthority(options.outcomes ?? [], id => {
			this.#promote(id);
		});
		this.announce();
		this.elect('one');
	}

	/** Requests that may still be carried out, by the control log. */
	get pendingPromotions(): readonly PendingPromotion[] {
		return this.#controlLog.lastPromotion('ledger')?.pending ?? [];
	}

	/** Makes an instance the leader in the place of the previous one, which learns of it at once but goes on with what it awaits. */
	elect(name: string): void {
		const {connector, statusParser} = this.#options;
		const isLeader = (): boolean => this.#leader === name;
		const monitor = new BackendServerMonitor({
			clock: this.clock, directory: this.#directory, connector: connector?.(this.members) ?? this.#connector, isLeader,
		});
		const controller = new ServicePromotionController({
			name,
			clock: this.clock,
			logger: silentLogger,
			directory: this.#directory,
			monitor,
			reports: this.reports,
			authority: this.authority,
			statusParser: statusParser ?? (this.#options.synchronousReplicas ? new FakeReplicationStatusParser() : new UnparsableStatusParser()),
			table: () => ({
				version: 1, routes: [], services: [{name: 'ledger', connectionLimit: 9, synchronousReplicas: this.synchronousReplicas}], idleTransactionLimit: 0,
			}),
			isLeader,
			issueToken: async (service, member) => {
				if (!isLeader()) {
					throw new BuckthornhitchError('notLeader', name);
				}

				const token = this.#controlLog.apply({index: ++this.#token, term: 1, command: {kind: 'issueToken', subject: service, member}}) as number;
				await this.tokenBarrier;
				return token;
			},
			settlePromotions: async (service, member, settledToken) => {
				if (isLeader()) {
					this.#controlLog.apply({
						index: ++this.#token, term: 1, command: {
							kind: 'issueToken', subject: service, member, settledToken,
						},
					});
				}
			},
			lastPromotion: service => this.#controlLog.lastPromotion(service),
		});
		this.#leader = name;
		this.#leaders.push({monitor, controller});
		monitor.start();
		controller.start();
	}

	/** Announces the members with their roles, the given one as leaving. */
	announce(leaving?: string): void {
		this.#leaving = leaving;
		this.#sequence++;
		for (const {server, role} of this.members) {
			this.#directory.applyAnnouncement({
				...server, role, sequence: this.#sequence, isLeaving: server.id === leaving,
			});
		}
	}

	/** Ends a member and starts it again with its log: its connections close, and it is not paused any more. */
	restart(id: string): void {
		const member = this.#member(id);
		member.minimumAcceptedTerm = 0;
		for (const connection of member.connections.splice(0)) {
			connection.close();
		}
	}

	/** Starts a new member in the place of one that has ended, at its address and with its log. */
	takeOver(id: string, successor: string): void {
		const index = this.members.findIndex(({server}) => server.id === id);
		const former = this.members[index];
		const next = new FakeMemberServer({...former.server, id: successor, startedAt: former.server.startedAt + 1});
		next.point = former.point;
		next.knownTerm = former.knownTerm;
		for (const connection of former.connections.splice(0)) {
			connection.close();
		}

		former.isUnresponsive = true;
		this.members.splice(index, 1, next);
		this.#connector.add(next);
		this.announce();
	}

	/** Marks a member as gone. */
	markGone(id: string): void {
		this.#directory.markGone(id);
	}

	/** Advances the clock while ten entry processes report whether they reach the member `a`; the given number of them fail to. */
	async advance(duration: number, failing: number): Promise<void> {
		for (let passed = 0; passed < duration; passed += 100) {
			for (let entry = 0; entry < 10; entry++) {
				this.reports.receive(`entry ${entry}`, 'entry', encodeReachability([{id: 'a', answeredAgo: 100, failingFor: entry < failing ? 700 : 0}]));
			}

			if (this.isCommitting) {
				this.#commit();
			}

			await this.clock.advanceInSteps(100, 10);
		}
	}

	/** Stops the controllers and the probes. */
	stop(): void {
		for (const {controller, monitor} of this.#leaders) {
			controller.stop();
			monitor.stop();
		}
	}

	/** Commits a transaction on the primary, and acknowledges it if enough replicas receive it. */
	#commit(): void {
		const primary = this.members.find(({role, isUnresponsive}) => role === 'primary' && !isUnresponsive);
		if (!primary) {
			return;
		}

		const {term} = primary.status;
		primary.point = {term, position: primary.point.position + 1};
		const receivers = this.members.filter(member => member.role === 'replica' && !member.isUnresponsive && member.minimumAcceptedTerm <= term && !this.deafMembers.has(member.server.id));
		for (const receiver of receivers) {
			receiver.point = this.slowMembers.has(receiver.server.id) ? {term, position: primary.point.position - 1} : primary.point;
		}

		if (receivers.filter(({point}) => point === primary.point).length >= this.synchronousReplicas) {
			this.acknowledged = primary.point;
		}
	}

	#member(id: string): FakeMemberServer {
		return this.members.find(({server}) => server.id === id)!;
	}

	/** Makes a member the primary of the next term with the log that it has; the other logs are cut back to it, and paused replicas receive again. */
	#promote(id: string): void {
		const promoted = this.#member(id);
		if (promoted.role === 'primary') {
			return;
		}

		if (compareLogPositions(promoted.point, this.acknowledged) < 0) {
			this.promotedWithLoss.push(id);
		}

		const term = Math.max(...this.members.map(({status}) => status.term)) + 1;
		for (const member of this.members) {
			member.role = member === promoted ? 'primary' : 'replica';
			member.knownTerm = term;
			member.minimumAcceptedTerm = 0;
			member.point = earlierLogPosition(member.point, promoted.point);
		}

		this.announce(this.#leaving);
	}
}
