import {type Buffer} from 'node:buffer';
import {type Controller} from '../blackboard/blackboard.js';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	decodeDatagram, decodeGossipRecord, encodeGossipRecord, maximumGossipRecordBytes, type Datagram,
} from './datagram-codec.js';
import {FailureDetector} from './failure-detector.js';
import {GossipSender} from './gossip-sender.js';
import {ProcessDirectory, type StopWatching} from './process-directory.js';
import {type ProcessRecord} from './process-record.js';
import {MembershipTable} from './membership-table.js';
import {
	isLive, probePeriod, toProcessState, withHealth, type GossipRecord,
} from './membership-rules.js';
import {type MembershipOptions} from './membership-options.js';
import {rejoinTargets} from './rejoin-targets.js';
import {RelayedProbes} from './relayed-probes.js';
import {RecordExchange} from './record-exchange.js';
import {type RevisionGossip} from './revision-gossip.js';

/** Period at which each process compares its records with those of a random peer (anti-entropy). */
export const antiEntropyPeriod: Milliseconds = 10_000;

const joinRetryPeriod: Milliseconds = 1000;
const seedsPerAttempt = 3;
const leaveFanout = 8;
const drainFanout = 4;

// When an exchange changes more records than this, only suspicions are gossiped. Most peers already hold the other records, and anti-entropy delivers them to the rest.
const maximumForwardedRecords = 32;

/** Maintains the membership of all processes, as in SWIM: probes peers, gossips updates and repairs divergent views by anti-entropy. */
export class MembershipController extends ProcessDirectory implements Controller, RevisionGossip {
	readonly #table: MembershipTable;
	readonly #detector: FailureDetector;
	readonly #sender: GossipSender;
	readonly #exchange: RecordExchange;
	readonly #relayedProbes: RelayedProbes;
	readonly #listeners = new ListenerSet();
	readonly #revisionListeners = new ListenerSet<[revision: number, holder: string]>();
	#ownRecord: GossipRecord;
	#cancelAntiEntropy: Cancel | undefined;
	#cancelJoin: Cancel | undefined;
	#antiEntropyDue = true;
	#exchanging = false;
	#stopped = false;

	/** Throws invalidSetting when the process's own record does not fit into a datagram. */
	constructor(private readonly options: MembershipOptions) {
		super();
		const {self, clock, random, transport, linkClient, handlers} = options;
		this.#table = new MembershipTable(random, self.name);
		this.#ownRecord = {
			...self, incarnation: Math.floor(clock.wallTime()), state: 'alive', configurationRevision: 0, health: 'alive', draining: false,
		};
		if (encodeGossipRecord(this.#ownRecord).length > maximumGossipRecordBytes) {
			throw new BuckthornhitchError('invalidSetting', `The names and addresses of this process take more than ${maximumGossipRecordBytes} bytes.`);
		}

		this.#table.set(this.#ownRecord, clock.now());
		this.#sender = new GossipSender({
			clock, transport, table: this.#table, ownName: self.name,
		});
		this.#exchange = new RecordExchange({
			clock,
			linkClient,
			handlers,
			table: this.#table,
			onRecords: records => {
				this.#mergeRecords(records, maximumForwardedRecords);
			},
		});
		this.#relayedProbes = new RelayedProbes(clock);
		this.#detector = this.#createDetector();
	}

	/** Binds the gossip address. Rejects when it is in use. */
	async open(): Promise<void> {
		await this.options.transport.open((bytes, sender) => {
			this.#receive(bytes, sender);
		});
	}

	/** Joins through the seeds and starts probing; the gossip address must already be open. */
	start(): void {
		const {random} = this.options;
		this.#exchange.start();
		this.#sender.enqueue(this.#ownRecord);
		this.#join();
		this.#detector.start(random.integerBelow(probePeriod));
		this.#scheduleAntiEntropy(random.integerBelow(antiEntropyPeriod));
	}

	/** Announces that this process is leaving and closes the gossip address. */
	stop(): void {
		if (this.#stopped) {
			return;
		}

		this.#stopped = true;
		this.#replaceOwnRecord({
			...this.#ownRecord, incarnation: this.#ownRecord.incarnation + 1, health: 'left', state: 'left',
		});
		this.#sender.sendToRandomPeers(leaveFanout);
		this.#sender.stop();
		this.#detector.stop();
		this.#cancelAntiEntropy?.();
		this.#cancelJoin?.();
		this.options.transport.close();
	}

	override records(): readonly ProcessRecord[] {
		return this.#table.records();
	}

	override watch(listener: () => void): StopWatching {
		return this.#listeners.add(listener);
	}

	override markDraining(): void {
		if (this.#ownRecord.draining || this.#stopped) {
			return;
		}

		this.options.timeline.record('membership', 'draining', this.#ownRecord.name);
		this.#replaceOwnRecord({
			...this.#ownRecord, incarnation: this.#ownRecord.incarnation + 1, draining: true, state: toProcessState('alive', true),
		});
		this.#sender.sendToRandomPeers(drainFanout);
		this.#listeners.notify();
	}

	announceRevision(revision: number): void {
		this.#ownRecord = {...this.#ownRecord, configurationRevision: revision};
		this.#table.updateRevision(this.#ownRecord.name, revision);
		this.#sender.announceRevision(revision);
	}

	onRevision(listener: (revision: number, holder: string) => void): StopWatching {
		return this.#revisionListeners.add(listener);
	}

	livePeer(name: string): ProcessRecord | undefined {
		const record = this.#table.get(name);
		return record && record.name !== this.#ownRecord.name && isLive(record) ? record : undefined;
	}

	#createDetector(): FailureDetector {
		return new FailureDetector({
			clock: this.options.clock,
			table: this.#table,
			probe: (target, sequence) => {
				this.#ping(target, sequence);
			},
			probeIndirectly: (relay, target, sequence) => {
				this.#sender.send({
					kind: 'pingRequest', address: relay.gossipAddress, to: relay.name, sequence, target,
				});
			},
			onSuspicion: record => {
				this.#applyDetectedState(withHealth(record, 'suspect'));
			},
			onFailure: record => {
				this.#applyDetectedState(withHealth(record, 'failed'));
			},
			onPause: delay => {
				this.options.logger.warn(`process was paused for ${Math.round(delay)} ms; failure detection resumes after pending answers are processed`);
			},
		});
	}

	#ping(target: GossipRecord, sequence: number): void {
		this.#sender.send({
			kind: 'ping', address: target.gossipAddress, to: target.name, sequence,
		});
	}

	#receive(bytes: Buffer, sender: Address): void {
		const datagram = decodeDatagram(bytes);
		if (this.#stopped || !datagram || datagram.from === this.#ownRecord.name || (datagram.to !== '' && datagram.to !== this.#ownRecord.name)) {
			return;
		}

		this.#mergeRecords(datagram.updates.map(update => decodeGossipRecord(update)).filter(record => record !== undefined), Number.POSITIVE_INFINITY);
		this.#handleRevision(datagram);
		this.#respond(datagram, sender);
	}

	#respond(datagram: Datagram, sender: Address): void {
		if (datagram.kind === 'ping') {
			this.#sender.send({
				kind: 'ack', address: sender, to: datagram.from, sequence: datagram.sequence, includeOwnRecord: datagram.introduce,
			});
			return;
		}

		if (datagram.introduce) {
			this.#sender.send({
				kind: 'notice', address: sender, to: datagram.from, sequence: 0, includeOwnRecord: true,
			});
		}

		if (datagram.kind === 'pingRequest') {
			this.#relayPing(datagram, sender);
		} else if (datagram.kind === 'ack') {
			this.#acknowledge(datagram);
		}
	}

	#relayPing(request: Datagram, sender: Address): void {
		const sequence = this.#detector.nextSequence();
		this.#relayedProbes.add(sequence, {address: sender, to: request.from, sequence: request.sequence});
		this.#sender.send({
			kind: 'ping', address: request.targetAddress, to: request.targetName, sequence,
		});
	}

	#acknowledge(ack: Datagram): void {
		this.#detector.acknowledge(ack.sequence);
		const requester = this.#relayedProbes.take(ack.sequence);
		if (requester) {
			this.#sender.send({kind: 'ack', ...requester});
		}

		const peer = this.#table.get(ack.from);
		if (this.#antiEntropyDue && peer && isLive(peer)) {
			this.#antiEntropyDue = false;
			if (ack.digest !== this.#table.digest) {
				void this.#exchangeWith(peer);
			}
		}
	}

	async #exchangeWith(peer: GossipRecord): Promise<void> {
		if (this.#exchanging) {
			return;
		}

		this.#exchanging = true;
		try {
			await this.#exchange.exchangeWith(peer.linkAddress);
		} catch (error) {
			// The next probe goes to another peer, whose acknowledgement triggers the retry.
			this.#antiEntropyDue = true;
			this.options.logger.debug(`anti-entropy with ${peer.name} failed: ${String(error)}`);
		} finally {
			this.#exchanging = false;
		}
	}

	#mergeRecords(records: readonly GossipRecord[], maximumForwarded: number): void {
		const changed = records.map(record => this.#mergeRecord(record)).filter(record => record !== undefined);
		for (const record of changed) {
			if (changed.length <= maximumForwarded || record.health === 'suspect') {
				this.#sender.enqueue(record);
			}
		}

		if (changed.length > 0) {
			this.#listeners.notify();
		}
	}

	#mergeRecord(record: GossipRecord): GossipRecord | undefined {
		if (record.name === this.#ownRecord.name) {
			this.#refute(record);
			return undefined;
		}

		const previous = this.#table.get(record.name);
		const merged = this.#table.merge(record, this.options.clock.now());
		if (merged) {
			this.#logStateChange(merged, previous);
			this.#detector.updateSuspicion(merged);
		}

		return merged;
	}

	#refute(claim: GossipRecord): void {
		const {incarnation} = this.#ownRecord;
		if (this.#stopped || claim.incarnation < incarnation || (claim.incarnation === incarnation && claim.health === 'alive')) {
			return;
		}

		if (claim.health === 'alive' && claim.gossipAddress !== this.#ownRecord.gossipAddress) {
			this.options.logger.warn(`another process at ${claim.gossipAddress} uses the name ${claim.name} of this process`);
		}

		this.#replaceOwnRecord({...this.#ownRecord, incarnation: claim.incarnation + 1});
	}

	#replaceOwnRecord(record: GossipRecord): void {
		this.#ownRecord = record;
		this.#table.set(record, this.options.clock.now());
		this.#sender.enqueue(record);
	}

	#applyDetectedState(record: GossipRecord): void {
		this.#logStateChange(record, this.#table.get(record.name));
		this.#table.set(record, this.options.clock.now());
		this.#detector.updateSuspicion(record);
		this.#sender.enqueue(record);
		this.#listeners.notify();
	}

	#logStateChange(record: GossipRecord, previous: GossipRecord | undefined): void {
		if (record.state === previous?.state) {
			return;
		}

		this.options.timeline.record('membership', record.state, record.name, record.gossipAddress);
		this.options.logger.info(`${record.name} at ${record.gossipAddress} is ${record.state}`);
	}

	#handleRevision(datagram: Datagram): void {
		this.#table.updateRevision(datagram.from, datagram.revision);
		this.#revisionListeners.notify(datagram.revision, datagram.from);
	}

	#join(): void {
		const {random, clock, seeds} = this.options;
		if (this.#stopped || this.#table.peers.size > 0) {
			return;
		}

		for (const address of random.sample(seeds, seedsPerAttempt)) {
			this.#pingToJoin(address, '');
		}

		this.#cancelJoin = clock.schedule(joinRetryPeriod + random.integerBelow(joinRetryPeriod), () => {
			this.#join();
		});
	}

	#pingToJoin(address: Address, name: string): void {
		this.#sender.send({
			kind: 'ping', address, to: name, sequence: this.#detector.nextSequence(), includeOwnRecord: true,
		});
	}

	#scheduleAntiEntropy(delay: Milliseconds): void {
		this.#cancelAntiEntropy = this.options.clock.schedule(delay, () => {
			this.#antiEntropyDue = true;
			this.#table.removeExpired(this.options.clock.now());
			this.#tryRejoin();
			this.#scheduleAntiEntropy(antiEntropyPeriod);
		});
	}

	// Rejoins the sides of a healed partition: each period, one failed process, or one seed address at which no process is live, is pinged.
	#tryRejoin(): void {
		const {random, seeds} = this.options;
		for (const {address, name} of random.sample(rejoinTargets(this.#table, seeds), 1)) {
			this.#pingToJoin(address, name);
		}

		if (this.#table.peers.size === 0) {
			this.#cancelJoin?.();
			this.#join();
		}
	}
}
