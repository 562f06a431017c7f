import {type Buffer} from 'node:buffer';
import {type Controller} from '../blackboard/blackboard.js';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	decodeDatagram, decodeGossipRecord, encodeGossipRecord, maximumEntryBytes, type Datagram,
} from './datagram-codec.js';
import {FailureDetector} from './failure-detector.js';
import {GossipSender} from './gossip-sender.js';
import {ProcessDirectory, type StopWatching} from './process-directory.js';
import {type ProcessRecord} from './process-record.js';
import {MemberTable} from './member-table.js';
import {
	isLive, probePeriod, publicState, withHealth, type GossipRecord,
} from './membership-rules.js';
import {type MembershipOptions} from './membership-options.js';
import {missingContacts} from './missing-contacts.js';
import {ProbeRelays} from './probe-relays.js';
import {RecordExchange} from './record-exchange.js';
import {type RevisionGossip} from './revision-gossip.js';

/** Each process compares its records with a random peer once in this many milliseconds. */
export const antiEntropyPeriod: Milliseconds = 10_000;

const joinRetryPeriod: Milliseconds = 1000;
const seedsPerAttempt = 3;
const leaveFanOut = 8;
const drainFanOut = 4;

// Records learned in larger lists are old news for most peers and are left to anti-entropy.
const largestPassedOnList = 32;

/** Keeps the records of all processes: probes peers, spreads news and merges views that have drifted apart. */
export class MembershipController extends ProcessDirectory implements Controller, RevisionGossip {
	readonly #table: MemberTable;
	readonly #detector: FailureDetector;
	readonly #sender: GossipSender;
	readonly #exchange: RecordExchange;
	readonly #relays: ProbeRelays;
	readonly #listeners = new ListenerSet();
	readonly #revisionListeners = new ListenerSet<[revision: number, holder: string]>();
	#own: GossipRecord;
	#cancelAntiEntropy: Cancel | undefined;
	#cancelJoin: Cancel | undefined;
	#exchangeDue = true;
	#exchanging = false;
	#stopped = false;

	/** Throws invalidSetting when the process's own record does not fit a datagram. */
	constructor(private readonly options: MembershipOptions) {
		super();
		const {self, clock, random, transport, linkClient, handlers} = options;
		this.#table = new MemberTable(random, self.name);
		this.#own = {
			...self, incarnation: Math.floor(clock.wallTime()), state: 'alive', configurationRevision: 0, health: 'alive', draining: false,
		};
		if (encodeGossipRecord(this.#own).length > maximumEntryBytes) {
			throw new BuckthornhitchError('invalidSetting', `The names and addresses of this process take more than ${maximumEntryBytes} bytes.`);
		}

		this.#table.put(this.#own, clock.now());
		this.#sender = new GossipSender({
			clock, transport, table: this.#table, ownName: self.name,
		});
		this.#exchange = new RecordExchange({
			clock,
			linkClient,
			handlers,
			table: this.#table,
			learn: entries => {
				this.#learn(entries, largestPassedOnList);
			},
		});
		this.#relays = new ProbeRelays(clock);
		this.#detector = this.#createDetector();
	}

	/** Opens the gossip address. Rejects when it is in use. */
	async open(): Promise<void> {
		await this.options.transport.open((bytes, sender) => {
			this.#receive(bytes, sender);
		});
	}

	/** Joins by the seeds and starts probing; the gossip address is open already. */
	start(): void {
		const {random} = this.options;
		this.#exchange.start();
		this.#sender.announce(this.#own);
		this.#join();
		this.#detector.start(random.integerBelow(probePeriod));
		this.#scheduleAntiEntropy(random.integerBelow(antiEntropyPeriod));
	}

	/** Announces that this process left and closes the gossip address. */
	stop(): void {
		if (this.#stopped) {
			return;
		}

		this.#stopped = true;
		this.#replaceOwn({
			...this.#own, incarnation: this.#own.incarnation + 1, health: 'left', state: 'left',
		});
		this.#sender.sendRound(leaveFanOut);
		this.#sender.stop();
		this.#detector.stop();
		this.#cancelAntiEntropy?.();
		this.#cancelJoin?.();
		this.options.transport.close();
	}

	override records(): readonly ProcessRecord[] {
		return this.#table.entries();
	}

	override watch(listener: () => void): StopWatching {
		return this.#listeners.add(listener);
	}

	override markDraining(): void {
		if (this.#own.draining || this.#stopped) {
			return;
		}

		this.options.timeline.record('membership', 'draining', this.#own.name);
		this.#replaceOwn({
			...this.#own, incarnation: this.#own.incarnation + 1, draining: true, state: publicState('alive', true),
		});
		this.#sender.sendRound(drainFanOut);
		this.#listeners.notify();
	}

	announceRevision(revision: number): void {
		this.#own = {...this.#own, configurationRevision: revision};
		this.#table.noteRevision(this.#own.name, revision);
		this.#sender.announceRevision(revision);
	}

	onRevision(listener: (revision: number, holder: string) => void): StopWatching {
		return this.#revisionListeners.add(listener);
	}

	livePeer(name: string): ProcessRecord | undefined {
		const entry = this.#table.get(name);
		return entry && entry.name !== this.#own.name && isLive(entry) ? entry : undefined;
	}

	#createDetector(): FailureDetector {
		return new FailureDetector({
			clock: this.options.clock,
			table: this.#table,
			probe: (target, sequence) => {
				this.#ping(target, sequence);
			},
			probeThrough: (helper, target, sequence) => {
				this.#sender.send({
					kind: 'pingRequest', address: helper.gossipAddress, to: helper.name, sequence, target,
				});
			},
			onSuspicion: entry => {
				this.#conclude(withHealth(entry, 'suspect'));
			},
			onFailure: entry => {
				this.#conclude(withHealth(entry, 'failed'));
			},
			onPause: late => {
				this.options.logger.warn(`this process did not run for ${Math.round(late)} ms; it judges no peer until it has caught up`);
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
		if (this.#stopped || !datagram || datagram.from === this.#own.name || (datagram.to !== '' && datagram.to !== this.#own.name)) {
			return;
		}

		this.#learn(datagram.updates.map(update => decodeGossipRecord(update)).filter(entry => entry !== undefined), Number.POSITIVE_INFINITY);
		this.#noteRevision(datagram);
		this.#respond(datagram, sender);
	}

	#respond(datagram: Datagram, sender: Address): void {
		if (datagram.kind === 'ping') {
			this.#sender.send({
				kind: 'ack', address: sender, to: datagram.from, sequence: datagram.sequence, includeOwn: datagram.introduce,
			});
			return;
		}

		if (datagram.introduce) {
			this.#sender.send({
				kind: 'notice', address: sender, to: datagram.from, sequence: 0, includeOwn: true,
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
		this.#relays.add(sequence, {address: sender, to: request.from, sequence: request.sequence});
		this.#sender.send({
			kind: 'ping', address: request.targetAddress, to: request.targetName, sequence,
		});
	}

	#acknowledge(ack: Datagram): void {
		this.#detector.acknowledge(ack.sequence);
		const relay = this.#relays.take(ack.sequence);
		if (relay) {
			this.#sender.send({kind: 'ack', ...relay});
		}

		const peer = this.#table.get(ack.from);
		if (this.#exchangeDue && peer && isLive(peer)) {
			this.#exchangeDue = false;
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
			// The next answer to a probe comes from another peer.
			this.#exchangeDue = true;
			this.options.logger.debug(`the records of ${peer.name} could not be compared: ${String(error)}`);
		} finally {
			this.#exchanging = false;
		}
	}

	#learn(entries: readonly GossipRecord[], largestPassedOn: number): void {
		const changed = entries.map(entry => this.#learnOne(entry)).filter(entry => entry !== undefined);
		for (const entry of changed) {
			if (changed.length <= largestPassedOn || entry.health === 'suspect') {
				this.#sender.announce(entry);
			}
		}

		if (changed.length > 0) {
			this.#listeners.notify();
		}
	}

	#learnOne(entry: GossipRecord): GossipRecord | undefined {
		if (entry.name === this.#own.name) {
			this.#refute(entry);
			return undefined;
		}

		const previous = this.#table.get(entry.name);
		const held = this.#table.learn(entry, this.options.clock.now());
		if (held) {
			this.#report(held, previous);
			this.#detector.track(held);
		}

		return held;
	}

	#refute(claim: GossipRecord): void {
		const {incarnation} = this.#own;
		if (this.#stopped || claim.incarnation < incarnation || (claim.incarnation === incarnation && claim.health === 'alive')) {
			return;
		}

		if (claim.health === 'alive' && claim.gossipAddress !== this.#own.gossipAddress) {
			this.options.logger.warn(`a process at ${claim.gossipAddress} uses this process's name ${claim.name}`);
		}

		this.#replaceOwn({...this.#own, incarnation: claim.incarnation + 1});
	}

	#replaceOwn(entry: GossipRecord): void {
		this.#own = entry;
		this.#table.put(entry, this.options.clock.now());
		this.#sender.announce(entry);
	}

	#conclude(entry: GossipRecord): void {
		this.#report(entry, this.#table.get(entry.name));
		this.#table.put(entry, this.options.clock.now());
		this.#detector.track(entry);
		this.#sender.announce(entry);
		this.#listeners.notify();
	}

	#report(entry: GossipRecord, previous: GossipRecord | undefined): void {
		if (entry.state === previous?.state) {
			return;
		}

		this.options.timeline.record('membership', entry.state, entry.name, entry.gossipAddress);
		this.options.logger.info(`${entry.name} at ${entry.gossipAddress} is ${entry.state}`);
	}

	#noteRevision(datagram: Datagram): void {
		this.#table.noteRevision(datagram.from, datagram.revision);
		this.#revisionListeners.notify(datagram.revision, datagram.from);
	}

	#join(): void {
		const {random, clock, seeds} = this.options;
		if (this.#stopped || this.#table.peers.size > 0) {
			return;
		}

		for (const address of random.sample(seeds, seedsPerAttempt)) {
			this.#contact(address, '');
		}

		this.#cancelJoin = clock.schedule(joinRetryPeriod + random.integerBelow(joinRetryPeriod), () => {
			this.#join();
		});
	}

	#contact(address: Address, name: string): void {
		this.#sender.send({
			kind: 'ping', address, to: name, sequence: this.#detector.nextSequence(), includeOwn: true,
		});
	}

	#scheduleAntiEntropy(delay: Milliseconds): void {
		this.#cancelAntiEntropy = this.options.clock.schedule(delay, () => {
			this.#exchangeDue = true;
			this.#table.forgetEnded(this.options.clock.now());
			this.#contactOneMissing();
			this.#scheduleAntiEntropy(antiEntropyPeriod);
		});
	}

	// Brings the halves of a partition together again: one failed process or seed that is not live is tried each period.
	#contactOneMissing(): void {
		const {random, seeds} = this.options;
		for (const {address, name} of random.sample(missingContacts(this.#table, seeds), 1)) {
			this.#contact(address, name);
		}

		if (this.#table.peers.size === 0) {
			this.#cancelJoin?.();
			this.#join();
		}
	}
}
