import {toBuckthornhitchError, type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Maximum number of requests that one command has in progress at a time; limits the load on a large deployment. */
const maximumConcurrentRequests = 50;

/** Responses of many processes, and the requests that failed. */
export type RequestResults<Item, Value> = {
	readonly responses: readonly Value[];
	readonly failures: ReadonlyArray<{readonly item: Item; readonly error: BuckthornhitchError}>;
};

/** Sends a request for every item with bounded concurrency. A failed request does not stop the others. */
export async function requestFromAll<Item, Value>(items: readonly Item[], sendRequest: (item: Item) => Promise<Value>): Promise<RequestResults<Item, Value>> {
	const responses: Value[] = [];
	const failures: Array<{readonly item: Item; readonly error: BuckthornhitchError}> = [];
	const queue = [...items];
	const processQueue = async (): Promise<void> => {
		for (let item = queue.shift(); item !== undefined; item = queue.shift()) {
			try {
				responses.push(await sendRequest(item));
			} catch (error) {
				failures.push({item, error: toBuckthornhitchError(error)});
			}
		}
	};

	await Promise.all(Array.from({length: maximumConcurrentRequests}, async () => processQueue()));
	return {responses, failures};
}
