/** Lets at most a given number of statements run at a time; others wait in order. */
export class SlotGate {
	/** Most slots in use at once so far. */
	maximumInUse = 0;
	#inUse = 0;
	readonly #waiting: Array<() => void> = [];

	constructor(private readonly slots: number) {}

	async run<Value>(action: () => Promise<Value>): Promise<Value> {
		await this.#enter();
		try {
			return await action();
		} finally {
			this.#leave();
		}
	}

	async #enter(): Promise<void> {
		if (this.#inUse >= this.slots) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
			return;
		}

		this.#inUse++;
		this.maximumInUse = Math.max(this.maximumInUse, this.#inUse);
	}

	#leave(): void {
		const next = this.#waiting.shift();
		if (next) {
			next();
		} else {
			this.#inUse--;
		}
	}
}
