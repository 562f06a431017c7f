import {Buffer} from 'node:buffer';
import {type Milliseconds} from '../clock/clock.js';
import {type Random} from '../random/random.js';
import {isLive, resolveRecord, type GossipRecord} from './membership-rules.js';
import {PeerList} from './peer-list.js';

/** Number of buckets into which records are hashed; two processes exchange only the records of buckets whose hashes differ. */
export const bucketCount = 256;

/** Time for which the record of a failed process is kept and the process is pinged to rejoin. It is longer than one hour, since processes must rejoin after a partition between regions that lasts one hour. */
export const failedRetention: Milliseconds = 6 * 3_600_000;

/** Time for which the record of a process that left is kept, so that stale gossip does not bring it back. */
export const leftRetention: Milliseconds = 600_000;

/** The records that one process holds, with hashes of the live ones for anti-entropy. */
export class MembershipTable {
	/** Live processes, excluding this one. */
	readonly peers: PeerList;
	readonly #records = new Map<string, GossipRecord>();
	/** Times at which processes became failed or left, by name. */
	readonly #notLiveSince = new Map<string, Milliseconds>();
	readonly #bucketHashes = new Uint32Array(bucketCount);
	#digest = 0;
	#cachedRecords: readonly GossipRecord[] | undefined;

	constructor(random: Random, private readonly ownName: string) {
		this.peers = new PeerList(random);
	}

	/** Hash of all live records. */
	get digest(): number {
		return this.#digest;
	}

	/** Number of live processes, including this one. */
	get liveCount(): number {
		return this.peers.size + 1;
	}

	/** Returns the record of a process, or undefined when it is not known. */
	get(name: string): GossipRecord | undefined {
		return this.#records.get(name);
	}

	/** Returns all records. */
	records(): readonly GossipRecord[] {
		this.#cachedRecords ??= [...this.#records.values()];
		return this.#cachedRecords;
	}

	/** Returns the names of the failed processes whose records are still kept. */
	failedNames(): readonly string[] {
		return [...this.#notLiveSince.keys()].filter(name => this.#records.get(name)?.health === 'failed');
	}

	/** Merges a received record and returns the record now held, or undefined when nothing changed. */
	merge(candidate: GossipRecord, now: Milliseconds): GossipRecord | undefined {
		const resolved = resolveRecord(candidate, this.#records.get(candidate.name));
		if (resolved) {
			this.set(resolved, now);
		}

		return resolved;
	}

	/** Replaces the record of a process and updates the hashes and peers. At an equal incarnation, the higher configuration revision is kept. */
	set(record: GossipRecord, now: Milliseconds): void {
		const known = this.#records.get(record.name);
		if (known) {
			this.#toggleHash(known);
		}

		this.#toggleHash(record);
		this.#records.set(record.name, known?.incarnation === record.incarnation ? {...record, configurationRevision: Math.max(record.configurationRevision, known.configurationRevision)} : record);
		this.#cachedRecords = undefined;
		this.#updatePeers(record, now);
	}

	/** Updates the configuration revision that a process announced. It is not part of the hashes, since it changes independently of membership. */
	updateRevision(name: string, revision: number): void {
		const known = this.#records.get(name);
		if (known && known.configurationRevision < revision) {
			this.#records.set(name, {...known, configurationRevision: revision});
			this.#cachedRecords = undefined;
		}
	}

	/** Removes the records of failed and left processes whose retention has passed. */
	removeExpired(now: Milliseconds): void {
		for (const [name, notLiveSince] of this.#notLiveSince) {
			const retention = this.#records.get(name)?.health === 'left' ? leftRetention : failedRetention;
			if (now - notLiveSince >= retention) {
				this.#notLiveSince.delete(name);
				this.#records.delete(name);
				this.#cachedRecords = undefined;
			}
		}
	}

	/** Returns the hashes of all buckets, four bytes each. */
	bucketHashes(): Buffer {
		const hashes = Buffer.alloc(bucketCount * 4);
		for (const [index, hash] of this.#bucketHashes.entries()) {
			hashes.writeUInt32BE(hash, index * 4);
		}

		return hashes;
	}

	/** Returns the indexes of the buckets whose hashes differ from a peer's. */
	differingBuckets(hashes: Buffer): readonly number[] {
		const differing: number[] = [];
		for (const [index, hash] of this.#bucketHashes.entries()) {
			if (hash !== hashes.readUInt32BE(index * 4)) {
				differing.push(index);
			}
		}

		return differing;
	}

	/** Returns the records in the given buckets, including those of failed and left processes. */
	recordsInBuckets(buckets: readonly number[]): readonly GossipRecord[] {
		const wanted = new Set(buckets);
		return this.records().filter(record => wanted.has(bucketOf(record.name)));
	}

	#updatePeers(record: GossipRecord, now: Milliseconds): void {
		if (isLive(record)) {
			this.#notLiveSince.delete(record.name);
			if (record.name !== this.ownName) {
				this.peers.add(record.name);
			}
		} else {
			this.#notLiveSince.set(record.name, now);
			this.peers.remove(record.name);
		}
	}

	// Adds the hash of a live record to its bucket hash and to the digest, or removes it if it was added before, since XOR is its own inverse. Records that are not live are not hashed.
	#toggleHash(record: GossipRecord): void {
		if (isLive(record)) {
			const hash = hashString(`${record.name}\n${record.incarnation}\n${record.health}\n${record.draining}`);
			/* eslint-disable no-bitwise */
			this.#bucketHashes[bucketOf(record.name)] ^= hash;
			this.#digest = (this.#digest ^ hash) >>> 0;
			/* eslint-enable no-bitwise */
		}
	}
}

function bucketOf(name: string): number {
	return hashString(name) % bucketCount;
}

// FNV-1a, with a final mixing step so that similar strings differ in all bits.
function hashString(text: string): number {
	/* eslint-disable no-bitwise, unicorn/prefer-code-point */
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	return (hash ^ (hash >>> 13)) >>> 0;
	/* eslint-enable no-bitwise, unicorn/prefer-code-point */
}
