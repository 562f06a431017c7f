/** Whether a figure meets its target from above or from below. */
export type Direction = 'atLeast' | 'atMost';

/** One measured figure beside its baseline and its target; null where there is none. */
export type Figure = {
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

/** Settings of a run of the benchmarks. */
export type BenchOptions = {
	readonly seed: number;
	/** Fewer and shorter runs. */
	readonly quick: boolean;
	/** Whether the false-promotion check takes its full 10 minutes. */
	readonly full: boolean;
	/** Whether the time line of one fleet goes to the error output. */
	readonly timeline: boolean;
	/** Takes each figure as soon as it is known. */
	readonly report: (figure: Figure) => void;
};

/** A named group of figures that is measured together. */
export type Measure = {
	readonly name: string;
	readonly run: (options: BenchOptions) => Promise<void>;
};

/** Returns whether the figure meets its target; undefined without a target. */
export function meetsTarget({value, target, direction}: Figure): boolean | undefined {
	if (target === null) {
		return undefined;
	}

	return direction === 'atLeast' ? value >= target : value <= target;
}

/** Fills in what most figures leave out. */
export function figure(seed: number, given: Pick<Figure, 'measure' | 'workload' | 'value' | 'unit' | 'runs'> & Partial<Figure>): Figure {
	return {
		seed, baseline: null, baselineValue: null, target: null, direction: 'atMost', ...given,
	};
}
