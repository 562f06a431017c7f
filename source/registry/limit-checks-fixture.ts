import {type Milliseconds} from '../clock/clock.js';
import {type Customer} from '../customers/types.js';
import {SeededRandom} from '../random/random.js';
import {type RateLimitSettings} from '../rate-limit/limit-arithmetic.js';
import {type LimitSimulation} from './limit-fixture.js';

/** Returns the usual rates of the customers of the deployment, per second: 492 operations with a Zipf distribution of exponent 1.2. */
export function usualRates(count = 87, total = 492): ReadonlyMap<string, number> {
	const weights = Array.from({length: count}, (_, index) => (index + 1) ** -1.2);
	const sum = weights.reduce((partial, weight) => partial + weight, 0);
	return new Map(weights.map((weight, index) => [`customer-${index}`, total * weight / sum] as const));
}

/** Returns customers whose limits are 1.6 times the usual rates. */
export function customersFor(rates: ReadonlyMap<string, number>): readonly Customer[] {
	return [...rates].map(([name, rate]) => ({
		name, keyDigests: [], priority: 1, rateLimit: {ratePerSecond: rate * 1.6, burst: Math.ceil(rate / 2)},
	}));
}

/** Returns the highest number of times in a window of the length that ends at or after the start. Independent of the classes that it checks. */
export function highestWindowCount(times: readonly Milliseconds[], length: Milliseconds, start = 0): number {
	const sorted = [...times].toSorted((first, second) => first - second);
	let highest = 0;
	let first = 0;
	for (const [last, time] of sorted.entries()) {
		while (sorted[first] <= time - length) {
			first++;
		}

		if (time >= start) {
			highest = Math.max(highest, last - first + 1);
		}
	}

	return highest;
}

/** Returns the operations of a customer per window that members may run, computed from the requirement and not by the code that it checks. */
export function permittedInWindow(customer: Customer, {window, overage, slack}: RateLimitSettings): number {
	const {ratePerSecond, burst} = customer.rateLimit!;
	return (((ratePerSecond * window / 1000) + burst) * (1 + overage)) + slack;
}

/** Longest time from the admission of an operation to its arrival at a member. */
const longestArrivalDelay: Milliseconds = 100;

/** Returns the sliding windows above the limit, as texts, counted at admission and at the arrival at a member. */
export function windowsAboveLimit(simulation: LimitSimulation, customers: readonly Customer[], start: Milliseconds = 0): readonly string[] {
	const {settings, operations} = simulation;
	const random = new SeededRandom(1);
	return customers.flatMap(customer => {
		const admitted = operations.filter(operation => operation.isAdmitted && operation.customer === customer.name).map(({answeredAt}) => answeredAt);
		const arrived = admitted.map(time => time + random.integerBelow(longestArrivalDelay));
		const permitted = permittedInWindow(customer, settings);
		return ([['admitted', admitted], ['arrived', arrived]] as const).flatMap(([when, times]) => {
			const count = highestWindowCount(times, settings.window, start);
			return count > permitted ? [`${customer.name}: ${count} ${when}, ${permitted.toFixed(1)} permitted`] : [];
		});
	});
}

/** Returns the share of the operations sent from the start on that were refused; of all customers except one, if it is given. */
export function refusedShare(simulation: LimitSimulation, start: Milliseconds, exceptCustomer?: string): number {
	const sent = simulation.operations.filter(({customer, sentAt}) => sentAt >= start && customer !== exceptCustomer);
	return sent.filter(({isAdmitted}) => !isAdmitted).length / sent.length;
}

/** Returns the admitted operations of a customer relative to what its limit permits, between two times. */
export function admittedShare(simulation: LimitSimulation, customer: Customer, from: Milliseconds, to: Milliseconds): number {
	const {settings, operations} = simulation;
	const admitted = operations.filter(operation => operation.isAdmitted && operation.customer === customer.name && operation.answeredAt >= from && operation.answeredAt < to);
	return admitted.length / (permittedInWindow(customer, settings) * (to - from) / settings.window);
}
