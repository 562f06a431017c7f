import {type Access} from '../pool/messages.js';

/** Execution slots of one member and the statements that occupy them. */
export type SlotUsage = {
	readonly slots: number;
	readonly reads: number;
	readonly writes: number;
};

/** Returns the number of a primary's slots that are reserved for writes: one third of them, but at least one when there are two or more. */
export function reservedWriteSlots(slots: number): number {
	return slots < 2 ? 0 : Math.max(1, Math.floor(slots / 3));
}

/** Tracks the execution slots of each member of a database. */
export class SlotTable {
	readonly #usages = new Map<string, SlotUsage>();

	/** Returns the usage of a member's slots. */
	usageOf(member: string): SlotUsage {
		return this.#usages.get(member) ?? {slots: 0, reads: 0, writes: 0};
	}

	/** Sets the number of slots of a member. */
	resize(member: string, slots: number): void {
		this.#usages.set(member, {...this.usageOf(member), slots});
	}

	/** Returns how many more reads or writes the member may execute. */
	freeSlots(member: string, access: Access, isPrimary: boolean): number {
		const {slots, reads, writes} = this.usageOf(member);
		const free = slots - reads - writes;
		return access === 'read' && isPrimary ? Math.min(free, slots - reservedWriteSlots(slots) - reads) : free;
	}

	/** Takes a slot and returns a function that releases it; further calls of the function have no effect. */
	take(member: string, access: Access): () => void {
		this.#adjustUsage(member, access, 1);
		let isTaken = true;
		return () => {
			if (isTaken) {
				isTaken = false;
				this.#adjustUsage(member, access, -1);
			}
		};
	}

	/** Returns the number of slots in use on all members. */
	inUse(): number {
		let sum = 0;
		for (const {reads, writes} of this.#usages.values()) {
			sum += reads + writes;
		}

		return sum;
	}

	/** Adds the change to the number of slots in use for the access. */
	#adjustUsage(member: string, access: Access, change: number): void {
		const usage = this.usageOf(member);
		this.#usages.set(member, access === 'read' ? {...usage, reads: usage.reads + change} : {...usage, writes: usage.writes + change});
	}
}
