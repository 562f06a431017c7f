import {type Buffer} from 'node:buffer';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {
	encodeDatagram, encodeGossipRecord, updateByteBudget, updateOverheadBytes, type DatagramKind,
} from './datagram-codec.js';
import {type DatagramTransport} from './datagram-transport.js';
import {type MembershipTable} from './membership-table.js';
import {transmissionLimit, type GossipRecord} from './membership-rules.js';
import {UpdateQueue} from './update-queue.js';

/** Number of random peers that receive gossip in each round. */
export const gossipFanout = 2;

// At two datagrams of at most 1,200 bytes per round, gossip uses at most 12 kB/s, however many updates are queued.
const gossipPeriod: Milliseconds = 200;

// The first round after an idle period starts early, so that an update reaches all processes in about a second.
const firstRoundDelay: Milliseconds = 20;

/** A datagram to send, without the header fields and updates that the sender adds. */
export type OutgoingDatagram = {
	readonly kind: DatagramKind;
	readonly address: Address;
	/** Name of the recipient, or empty when only its address is known. */
	readonly to: string;
	readonly sequence: number;
	/** Whether to include this process's own record. */
	readonly includeOwnRecord?: boolean;
	readonly target?: GossipRecord;
};

/** Dependencies of the gossip sender. */
export type GossipSenderOptions = {
	readonly clock: Clock;
	readonly transport: DatagramTransport;
	readonly table: MembershipTable;
	readonly ownName: string;
};

/** Sends datagrams and disseminates updates: piggybacked on every datagram, and in gossip rounds while updates are queued. */
export class GossipSender {
	readonly #queue = new UpdateQueue();
	#revision = 0;
	#remainingRevisionTransmissions = 0;
	#cancelRound: Cancel | undefined;
	#stopped = false;

	constructor(private readonly options: GossipSenderOptions) {}

	/** Queues a record for dissemination. */
	enqueue(record: GossipRecord): void {
		this.#queue.add(record.name, encodeGossipRecord(record));
		this.#scheduleRound(firstRoundDelay);
	}

	/** Disseminates the configuration revision that this process now holds. */
	announceRevision(revision: number): void {
		this.#revision = revision;
		this.#remainingRevisionTransmissions = transmissionLimit(this.options.table.liveCount);
		this.#scheduleRound(firstRoundDelay);
	}

	/** Sends one datagram with as many queued updates as fit. */
	send(outgoing: OutgoingDatagram): void {
		const {table, transport, ownName} = this.options;
		const recipient = table.get(outgoing.to);
		const targetName = outgoing.target?.name ?? '';
		const targetAddress = outgoing.target?.gossipAddress ?? '';
		const budget = updateByteBudget(ownName, outgoing.to, targetName, targetAddress);
		this.#remainingRevisionTransmissions = Math.max(0, this.#remainingRevisionTransmissions - 1);
		transport.send(outgoing.address, encodeDatagram({
			kind: outgoing.kind,
			from: ownName,
			to: outgoing.to,
			sequence: outgoing.sequence,
			revision: this.#revision,
			digest: table.digest,
			introduce: recipient === undefined || recipient.health === 'failed' || recipient.health === 'left',
			targetName,
			targetAddress,
			updates: this.#selectUpdates(budget, recipient, outgoing.includeOwnRecord === true),
		}));
	}

	/** Sends queued updates to some random peers immediately. */
	sendToRandomPeers(count: number): void {
		for (const name of this.options.table.peers.sample(count)) {
			const peer = this.options.table.get(name);
			if (peer) {
				this.send({
					kind: 'notice', address: peer.gossipAddress, to: name, sequence: 0,
				});
			}
		}
	}

	/** Stops the gossip rounds. */
	stop(): void {
		this.#stopped = true;
		this.#cancelRound?.();
	}

	// If the recipient is recorded as suspect, failed or left, its record comes before all other updates, since only the recipient can refute it.
	#selectUpdates(budget: number, recipient: GossipRecord | undefined, includeOwnRecord: boolean): readonly Buffer[] {
		const ownRecord = includeOwnRecord ? this.options.table.get(this.options.ownName) : undefined;
		const refutableRecord = recipient && recipient.health !== 'alive' ? recipient : undefined;
		const first = [refutableRecord, ownRecord].filter(record => record !== undefined).map(record => encodeGossipRecord(record));
		const used = first.reduce((sum, bytes) => sum + bytes.length + updateOverheadBytes, 0);
		return [...first, ...this.#queue.take(budget - used, transmissionLimit(this.options.table.liveCount))];
	}

	#scheduleRound(delay: Milliseconds): void {
		if (this.#stopped) {
			return;
		}

		this.#cancelRound ??= this.options.clock.schedule(delay, () => {
			this.#cancelRound = undefined;
			this.sendToRandomPeers(gossipFanout);
			if ((this.#queue.size > 0 || this.#remainingRevisionTransmissions > 0) && this.options.table.peers.size > 0) {
				this.#scheduleRound(gossipPeriod);
			}
		});
	}
}
