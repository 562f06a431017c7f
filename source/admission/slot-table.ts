import {type Access} from '../pool/messages.js';

/** Use of one member's slots. */
export type SlotUsage = {
	readonly slots: number;
	readonly reads: number;
	readonly writes: number;
};

/** Returns the number of a primary's slots that reads never use: one third, at least one of two or more. */
export function reservedWriteSlots(slots: number): number {
	return slots < 2 ? 0 : Math.max(1, Math.floor(slots / 3));
}

/** Counts the statements that each member of a database executes. */
export class SlotTable {
	readonly #uses = new Map<string, SlotUsage>();

	/** Returns the use of a member's slots. */
	usageOf(member: string): SlotUsage {
		return this.#uses.get(member) ?? {slots: 0, reads: 0, writes: 0};
	}

	/** Sets the number of slots of a member. */
	resize(member: string, slots: number): void {
		this.#uses.set(member, {...this.usageOf(member), slots});
	}

	/** Returns how many more statements of the access the member may execute. */
	freeSlots(member: string, access: Access, isPrimary: boolean): number {
		const {slots, reads, writes} = this.usageOf(member);
		const free = slots - reads - writes;
		return access === 'read' && isPrimary ? Math.min(free, slots - reservedWriteSlots(slots) - reads) : free;
	}

	/** Takes a slot; returns a function that gives it back once. */
	take(member: string, access: Access): () => void {
		this.#count(member, access, 1);
		let taken = true;
		return () => {
			if (taken) {
				taken = false;
				this.#count(member, access, -1);
			}
		};
	}

	/** Returns the number of statements under way on all members. */
	inUse(): number {
		let sum = 0;
		for (const {reads, writes} of this.#uses.values()) {
			sum += reads + writes;
		}

		return sum;
	}

	#count(member: string, access: Access, change: number): void {
		const use = this.usageOf(member);
		this.#uses.set(member, access === 'read' ? {...use, reads: use.reads + change} : {...use, writes: use.writes + change});
	}
}
