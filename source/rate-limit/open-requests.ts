/** Numbers of the requests `requestOperations` that a process has sent and that have neither been answered nor given up. */
export class OpenRequests {
	#next = 1;
	readonly #open = new Set<number>();

	/** Lowest number of an open request, or the next number when none is open. */
	get first(): number {
		// Numbers are added in ascending order, so the first one is the lowest.
		return this.#open.values().next().value ?? this.#next;
	}

	/** Returns the number of a new request. */
	begin(): number {
		const number = this.#next++;
		this.#open.add(number);
		return number;
	}

	/** Records that a request was answered or given up. */
	end(number: number): void {
		this.#open.delete(number);
	}
}
