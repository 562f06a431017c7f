/** Label of all customers that have none of their own. */
export const otherCustomersLabel = '(others)';

/** Maximum number of customers with a label of their own, which bounds the number of time series. */
const maximumLabels = 10;

/** Maximum number of customers whose operations are counted, which bounds the memory when customers are added and removed for a long time. */
const maximumCounts = 1000;

/** A customer replaces another one only when it has this many times its operations, so that two customers with nearly equal counts do not replace each other in turn. */
const replacementFactor = 1.1;

/** Metric label of a customer, and the label that it replaces. */
export type CustomerLabel = {
	readonly label: string;
	/** Label that is no longer used; its time series end. */
	readonly replaced: string | undefined;
};

/** Selects the customers with the most operations, which get metric labels of their own. */
export class CustomerRanking {
	readonly #counts = new Map<string, number>();
	readonly #labelled = new Set<string>();

	/** Counts an operation of a customer and returns its label. */
	count(customer: string): CustomerLabel {
		const count = (this.#counts.get(customer) ?? 0) + 1;
		this.#counts.set(customer, count);
		this.#limitCounts();
		if (this.#labelled.has(customer)) {
			return {label: customer, replaced: undefined};
		}

		if (customer === otherCustomersLabel) {
			return {label: otherCustomersLabel, replaced: undefined};
		}

		if (this.#labelled.size < maximumLabels) {
			this.#labelled.add(customer);
			return {label: customer, replaced: undefined};
		}

		const least = this.#leastLabelled();
		if (count < this.#counts.get(least)! * replacementFactor) {
			return {label: otherCustomersLabel, replaced: undefined};
		}

		this.#labelled.delete(least);
		this.#labelled.add(customer);
		return {label: customer, replaced: least};
	}

	/** Forgets the counts of the customers without a label when there are too many. */
	#limitCounts(): void {
		if (this.#counts.size > maximumCounts) {
			for (const customer of this.#counts.keys()) {
				if (!this.#labelled.has(customer)) {
					this.#counts.delete(customer);
				}
			}
		}
	}

	#leastLabelled(): string {
		const [first, ...others] = this.#labelled;
		let least = first;
		for (const other of others) {
			if (this.#counts.get(other)! < this.#counts.get(least)!) {
				least = other;
			}
		}

		return least;
	}
}
