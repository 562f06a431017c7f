import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {encodeReachability, ReachabilityReports} from '../registry/reachability-reports.js';
import {FakeMemberConnector, FakeMemberServer, FakeReplicationStatusParser} from '../session-proxy/member-server-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {ReplicationStatusParser, type ReplicationStatus} from '../statement/replication-status.js';
import {BackendServerMonitor} from './backend-server-monitor.js';
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

/** Promotion controller of a leader with an in-memory primary `a` and the replicas `b` and `c`. */
export class PromotionFixture {
	readonly clock = new ManualClock();
	readonly reports = new ReachabilityReports(this.clock);
	readonly members = ['a', 'b', 'c'].map(id => new FakeMemberServer({...testAnnouncement(id, {role: id === 'a' ? 'primary' : 'replica'}), isGone: false}));
	readonly authority: FakeAuthority;
	readonly #directory = new BackendDirectory(this.clock);
	readonly #monitor: BackendServerMonitor;
	readonly #controller: ServicePromotionController;
	#token = 0;

	constructor({outcomes = [], synchronousReplicas = 0, connector, statusParser}: PromotionFixtureOptions = {}) {
		this.#monitor = new BackendServerMonitor(this.clock, this.#directory, connector?.(this.members) ?? new FakeMemberConnector(this.members), () => true);
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
			statusParser: statusParser ?? (synchronousReplicas > 0 ? new FakeReplicationStatusParser() : new UnparsableStatusParser()),
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

	/** Stops the controller and the probes. */
	stop(): void {
		this.#controller.stop();
		this.#monitor.stop();
	}
}
