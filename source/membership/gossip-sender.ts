import {type Buffer} from 'node:buffer';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {
	encodeDatagram, encodeGossipRecord, updateBudget, updateOverheadBytes, type DatagramKind,
} from './datagram-codec.js';
import {type DatagramTransport} from './datagram-transport.js';
import {type MemberTable} from './member-table.js';
import {transmissionLimit, type GossipRecord} from './membership-rules.js';
import {UpdateQueue} from './update-queue.js';

/** News is passed on to this many peers a round. */
export const gossipFanOut = 2;

// With datagrams of 1,200 bytes at most, the rounds take at most 12 kB/s however much there is to tell.
const gossipPeriod: Milliseconds = 200;

// The first round after a quiet time starts early, so that news crosses the fleet in about a second.
const firstRoundDelay: Milliseconds = 20;

/** A datagram to be sent. */
export type OutgoingDatagram = {
	readonly kind: DatagramKind;
	readonly address: Address;
	/** Name of the addressee, or empty when only its address is known. */
	readonly to: string;
	readonly sequence: number;
	/** Whether this process's own record is included. */
	readonly includeOwn?: boolean;
	readonly target?: GossipRecord;
};

/** What the sender of datagrams needs. */
export type GossipSenderOptions = {
	readonly clock: Clock;
	readonly transport: DatagramTransport;
	readonly table: MemberTable;
	readonly ownName: string;
};

/** Sends datagrams and passes news on: with every datagram, and in rounds of its own as long as there is news. */
export class GossipSender {
	readonly #queue = new UpdateQueue();
	#revision = 0;
	#revisionTransmissions = 0;
	#cancelRound: Cancel | undefined;
	#stopped = false;

	constructor(private readonly options: GossipSenderOptions) {}

	/** Passes a record on. */
	announce(entry: GossipRecord): void {
		this.#queue.add(entry.name, encodeGossipRecord(entry));
		this.#scheduleRound(firstRoundDelay);
	}

	/** Announces the configuration revision that this process holds now. */
	announceRevision(revision: number): void {
		this.#revision = revision;
		this.#revisionTransmissions = transmissionLimit(this.options.table.liveCount);
		this.#scheduleRound(firstRoundDelay);
	}

	/** Sends one datagram with as much news as fits. */
	send(outgoing: OutgoingDatagram): void {
		const {table, transport, ownName} = this.options;
		const addressee = table.get(outgoing.to);
		const targetName = outgoing.target?.name ?? '';
		const targetAddress = outgoing.target?.gossipAddress ?? '';
		const budget = updateBudget(ownName, outgoing.to, targetName, targetAddress);
		this.#revisionTransmissions = Math.max(0, this.#revisionTransmissions - 1);
		transport.send(outgoing.address, encodeDatagram({
			kind: outgoing.kind,
			from: ownName,
			to: outgoing.to,
			sequence: outgoing.sequence,
			revision: this.#revision,
			digest: table.digest,
			introduce: addressee === undefined || addressee.health === 'failed' || addressee.health === 'left',
			targetName,
			targetAddress,
			updates: this.#updates(budget, addressee, outgoing.includeOwn === true),
		}));
	}

	/** Sends news to some random peers at once. */
	sendRound(count: number): void {
		for (const name of this.options.table.peers.draw(count)) {
			const peer = this.options.table.get(name);
			if (peer) {
				this.send({
					kind: 'notice', address: peer.gossipAddress, to: name, sequence: 0,
				});
			}
		}
	}

	/** Stops the rounds. */
	stop(): void {
		this.#stopped = true;
		this.#cancelRound?.();
	}

	// A process that is not believed alive is told so first, since only it can refute that.
	#updates(budget: number, addressee: GossipRecord | undefined, includeOwn: boolean): readonly Buffer[] {
		const own = includeOwn ? this.options.table.get(this.options.ownName) : undefined;
		const doubted = addressee && addressee.health !== 'alive' ? addressee : undefined;
		const first = [doubted, own].filter(entry => entry !== undefined).map(entry => encodeGossipRecord(entry));
		const used = first.reduce((sum, bytes) => sum + bytes.length + updateOverheadBytes, 0);
		return [...first, ...this.#queue.take(budget - used, transmissionLimit(this.options.table.liveCount))];
	}

	#scheduleRound(delay: Milliseconds): void {
		if (this.#stopped) {
			return;
		}

		this.#cancelRound ??= this.options.clock.schedule(delay, () => {
			this.#cancelRound = undefined;
			this.sendRound(gossipFanOut);
			if ((this.#queue.size > 0 || this.#revisionTransmissions > 0) && this.options.table.peers.size > 0) {
				this.#scheduleRound(gossipPeriod);
			}
		});
	}
}
