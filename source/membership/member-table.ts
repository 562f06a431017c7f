import {Buffer} from 'node:buffer';
import {type Milliseconds} from '../clock/clock.js';
import {type Random} from '../random/random.js';
import {isLive, resolveEntry, type GossipRecord} from './membership-rules.js';
import {PeerList} from './peer-list.js';

/** Groups of records with one hash each; two processes exchange only the records of groups whose hashes differ. */
export const bucketCount = 256;

/** Time for which a failed process is remembered and tried again; longer than a partition of an hour between regions. */
export const failedRetention: Milliseconds = 6 * 3_600_000;

/** Time for which a process that left is remembered, so that older news does not bring it back. */
export const leftRetention: Milliseconds = 600_000;

/** All records of one process, with hashes over the live ones. */
export class MemberTable {
	/** Live processes other than this one. */
	readonly peers: PeerList;
	readonly #entries = new Map<string, GossipRecord>();
	readonly #endedAt = new Map<string, Milliseconds>();
	readonly #bucketHashes = new Uint32Array(bucketCount);
	#digest = 0;
	#list: readonly GossipRecord[] | undefined;

	constructor(random: Random, private readonly ownName: string) {
		this.peers = new PeerList(random);
	}

	/** Hash over all live records. */
	get digest(): number {
		return this.#digest;
	}

	/** Number of live processes, this one included. */
	get liveCount(): number {
		return this.peers.size + 1;
	}

	/** Returns the record of a process. */
	get(name: string): GossipRecord | undefined {
		return this.#entries.get(name);
	}

	/** Returns all records. */
	entries(): readonly GossipRecord[] {
		this.#list ??= [...this.#entries.values()];
		return this.#list;
	}

	/** Returns the names of the failed processes that are remembered. */
	failedNames(): readonly string[] {
		return [...this.#endedAt.keys()].filter(name => this.#entries.get(name)?.health === 'failed');
	}

	/** Takes over newer knowledge and returns the entry now held, or undefined when nothing changed. */
	learn(candidate: GossipRecord, now: Milliseconds): GossipRecord | undefined {
		const resolved = resolveEntry(candidate, this.#entries.get(candidate.name));
		if (resolved) {
			this.put(resolved, now);
		}

		return resolved;
	}

	/** Replaces the record of a process. */
	put(entry: GossipRecord, now: Milliseconds): void {
		const known = this.#entries.get(entry.name);
		if (known) {
			this.#toggleHash(known);
		}

		this.#toggleHash(entry);
		this.#entries.set(entry.name, known?.incarnation === entry.incarnation ? {...entry, configurationRevision: Math.max(entry.configurationRevision, known.configurationRevision)} : entry);
		this.#list = undefined;
		this.#track(entry, now);
	}

	/** Notes the configuration revision that a process announced; not part of the hashes, since it changes without the membership. */
	noteRevision(name: string, revision: number): void {
		const known = this.#entries.get(name);
		if (known && known.configurationRevision < revision) {
			this.#entries.set(name, {...known, configurationRevision: revision});
			this.#list = undefined;
		}
	}

	/** Forgets processes that ended long ago. */
	forgetEnded(now: Milliseconds): void {
		for (const [name, endedAt] of this.#endedAt) {
			const retention = this.#entries.get(name)?.health === 'left' ? leftRetention : failedRetention;
			if (now - endedAt >= retention) {
				this.#endedAt.delete(name);
				this.#entries.delete(name);
				this.#list = undefined;
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

	/** Returns the buckets whose hashes differ from a peer's. */
	differingBuckets(hashes: Buffer): readonly number[] {
		const differing: number[] = [];
		for (const [index, hash] of this.#bucketHashes.entries()) {
			if (hash !== hashes.readUInt32BE(index * 4)) {
				differing.push(index);
			}
		}

		return differing;
	}

	/** Returns the records of some buckets, ended processes included. */
	entriesOf(buckets: readonly number[]): readonly GossipRecord[] {
		const wanted = new Set(buckets);
		return this.entries().filter(entry => wanted.has(bucketOf(entry.name)));
	}

	#track(entry: GossipRecord, now: Milliseconds): void {
		if (isLive(entry)) {
			this.#endedAt.delete(entry.name);
			if (entry.name !== this.ownName) {
				this.peers.add(entry.name);
			}
		} else {
			this.#endedAt.set(entry.name, now);
			this.peers.remove(entry.name);
		}
	}

	#toggleHash(entry: GossipRecord): void {
		if (isLive(entry)) {
			const hash = hashText(`${entry.name}\n${entry.incarnation}\n${entry.health}\n${entry.draining}`);
			/* eslint-disable no-bitwise */
			this.#bucketHashes[bucketOf(entry.name)] ^= hash;
			this.#digest = (this.#digest ^ hash) >>> 0;
			/* eslint-enable no-bitwise */
		}
	}
}

function bucketOf(name: string): number {
	return hashText(name) % bucketCount;
}

// FNV-1a, with a final mix so that similar texts differ in all bits.
function hashText(text: string): number {
	/* eslint-disable no-bitwise, unicorn/prefer-code-point */
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	return (hash ^ (hash >>> 13)) >>> 0;
	/* eslint-enable no-bitwise, unicorn/prefer-code-point */
}
