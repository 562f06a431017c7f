/** Whether a target is a lower or an upper bound. */
export type Direction = 'atLeast' | 'atMost';

/** One measured value with its baseline and its target; null where there is none. */
export type BenchmarkResult = {
	readonly measure: string;
	readonly workload: string;
	readonly seed: number;
	readonly value: number;
	readonly unit: string;
	readonly baseline: string | null;
	readonly baselineValue: number | null;
	readonly target: number | null;
	readonly direction: Direction;
	/** Number of observations behind the value. */
	readonly runs: number;
};

/** Options of a benchmark run. */
export type BenchmarkOptions = {
	readonly seed: number;
	/** Whether runs are fewer and shorter. */
	readonly quick: boolean;
	/** Whether the false-promotion check takes its full 10 minutes. */
	readonly full: boolean;
	/** Whether the event timeline of one fleet is written to standard error. */
	readonly timeline: boolean;
	/** Called with each result as soon as it is measured. */
	readonly report: (result: BenchmarkResult) => void;
};

/** A named group of results that are measured together. */
export type Benchmark = {
	readonly name: string;
	readonly run: (options: BenchmarkOptions) => Promise<void>;
};

/** Returns whether the value meets its target; undefined without a target. */
export function meetsTarget({value, target, direction}: BenchmarkResult): boolean | undefined {
	if (target === null) {
		return undefined;
	}

	return direction === 'atLeast' ? value >= target : value <= target;
}

/** Creates a result; fields that are left out get their defaults. */
export function createBenchmarkResult(seed: number, values: Pick<BenchmarkResult, 'measure' | 'workload' | 'value' | 'unit' | 'runs'> & Partial<BenchmarkResult>): BenchmarkResult {
	return {
		seed, baseline: null, baselineValue: null, target: null, direction: 'atMost', ...values,
	};
}
