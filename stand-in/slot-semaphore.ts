/** Semaphore that limits the number of concurrent statements. Waiting statements run in the order of their arrival. */
export class SlotSemaphore {
	/** Highest number of slots in use at the same time so far. */
	maximumInUse = 0;
	#inUse = 0;
	readonly #waiters: Array<() => void> = [];

	constructor(private readonly slots: number) {}

	async run<Value>(action: () => Promise<Value>): Promise<Value> {
		await this.#acquire();
		try {
			return await action();
		} finally {
			this.#release();
		}
	}

	async #acquire(): Promise<void> {
		if (this.#inUse >= this.slots) {
			await new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			});
			return;
		}

		this.#inUse++;
		this.maximumInUse = Math.max(this.maximumInUse, this.#inUse);
	}

	#release(): void {
		const next = this.#waiters.shift();
		if (next) {
			next();
		} else {
			this.#inUse--;
		}
	}
}
