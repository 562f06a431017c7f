import {randomBytes, randomInt} from 'node:crypto';

/** Source of random numbers, replaceable in tests. */
export abstract class Random {
	/** Returns an integer from 0 up to but not including the limit. */
	integerBelow(limit: number): number {
		return Math.floor(this.fraction() * limit);
	}

	/** Returns up to count different elements in random order. */
	sample<Element>(elements: readonly Element[], count: number): readonly Element[] {
		const remaining = [...elements];
		const sampled: Element[] = [];
		while (sampled.length < count && remaining.length > 0) {
			sampled.push(...remaining.splice(this.integerBelow(remaining.length), 1));
		}

		return sampled;
	}

	/** Returns a number from 0 up to but not including 1. */
	abstract fraction(): number;
}

/** Number of distinct fractions; `randomInt` accepts ranges below 2 ** 48. */
const fractionSteps = 2 ** 47;

/** Random numbers from the operating system. */
export class SystemRandom extends Random {
	override fraction(): number {
		return randomInt(fractionSteps) / fractionSteps;
	}
}

/** Reproducible random numbers from a seed (mulberry32), for tests and benchmarks. */
export class SeededRandom extends Random {
	#state: number;

	constructor(seed: number) {
		super();
		this.#state = Math.trunc(seed);
	}

	override fraction(): number {
		/* eslint-disable no-bitwise, unicorn/prefer-math-trunc */
		this.#state = (this.#state + 0x6D_2B_79_F5) | 0;
		let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
		/* eslint-enable no-bitwise, unicorn/prefer-math-trunc */
	}
}

/** Returns a random unique identifier of 24 hexadecimal digits. */
export function uniqueId(): string {
	return randomBytes(12).toString('hex');
}
