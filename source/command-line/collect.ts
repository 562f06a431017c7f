import {toBuckthornhitchError, type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Requests that one command has open at a time, so that it does not flood a large fleet. */
const concurrency = 50;

/** Answers of many processes. */
export type Collection<Item, Value> = {
	readonly values: readonly Value[];
	readonly failures: ReadonlyArray<{readonly item: Item; readonly error: BuckthornhitchError}>;
};

/** Asks every item with bounded concurrency and keeps answers and failures apart. */
export async function collect<Item, Value>(items: readonly Item[], ask: (item: Item) => Promise<Value>): Promise<Collection<Item, Value>> {
	const values: Value[] = [];
	const failures: Array<{readonly item: Item; readonly error: BuckthornhitchError}> = [];
	const waiting = [...items];
	const work = async (): Promise<void> => {
		for (let item = waiting.shift(); item !== undefined; item = waiting.shift()) {
			try {
				values.push(await ask(item));
			} catch (error) {
				failures.push({item, error: toBuckthornhitchError(error)});
			}
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => work()));
	return {values, failures};
}
