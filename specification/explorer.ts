import {fromTransition, type EventObject} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';

/** Model of a protocol: a small state machine with invariants. States and steps are plain data. */
export abstract class Specification<State extends Readonly<Record<string, unknown>>, Step extends EventObject> {
	/** Title in reports. */
	abstract readonly title: string;

	/** Highest number of states that the exploration may reach. */
	abstract readonly stateLimit: number;

	/** Returns the initial state. */
	abstract initial(): State;

	/** Returns the steps to try in the state; a step that is not possible has no effect. */
	abstract steps(state: State): readonly Step[];

	/** Returns the state after the step, or the same object if the step has no effect. */
	abstract next(state: State, step: Step): State;

	/** Returns the invariant that the state breaks, or undefined. */
	abstract violation(state: State): string | undefined;
}

/** Result of an exploration. */
export type ExplorationResult = {
	readonly title: string;
	readonly states: number;
	readonly transitions: number;
	/** The broken invariant, or undefined if every reachable state keeps all invariants. */
	readonly violation: string | undefined;
	/** Shortest list of steps that leads to the violation. */
	readonly counterexample: readonly string[];
};

/** Step by which a state was first reached, and the state before it. */
type DiscoveryStep = {
	readonly previousKey: string;
	readonly step: string;
};

/**
Explores all reachable states breadth first and stops at the first violation.

Throws if more states than the limit are reached. Steps to states that are already known are counted but not followed, which keeps the queue of the graph library short.
*/
export function explore<State extends Readonly<Record<string, unknown>>, Step extends EventObject>(specification: Specification<State, Step>): ExplorationResult {
	const initialKey = JSON.stringify(specification.initial());
	const discoveredStates = new Map<string, DiscoveryStep | undefined>([[initialKey, undefined]]);
	let transitions = 0;
	let violation: string | undefined;
	let violatingKey = '';

	const discover = (state: State, step: Step): boolean => {
		const next = specification.next(state, step);
		if (next === state) {
			return false;
		}

		transitions++;
		const key = JSON.stringify(next);
		if (discoveredStates.has(key)) {
			return false;
		}

		discoveredStates.set(key, {previousKey: JSON.stringify(state), step: JSON.stringify(step)});
		return true;
	};

	const logic = fromTransition((state: State, step: Step) => specification.next(state, step), specification.initial());
	getAdjacencyMap(logic, {
		events: snapshot => violation ? [] : specification.steps(snapshot.context),
		filterEvents: (snapshot, step) => discover(snapshot.context, step),
		serializeState: snapshot => JSON.stringify(snapshot.context),
		serializeEvent: step => JSON.stringify(step),
		limit: specification.stateLimit,
		stopWhen(snapshot) {
			if (!violation) {
				violation = specification.violation(snapshot.context);
				violatingKey = violation ? JSON.stringify(snapshot.context) : '';
			}

			return violation !== undefined;
		},
	});
	return {
		title: specification.title,
		states: discoveredStates.size,
		transitions,
		violation,
		counterexample: violation ? stepsToState(violatingKey, discoveredStates) : [],
	};
}

function stepsToState(stateKey: string, discoveredStates: ReadonlyMap<string, DiscoveryStep | undefined>): readonly string[] {
	const steps: string[] = [];
	let discovery = discoveredStates.get(stateKey);
	while (discovery) {
		steps.unshift(discovery.step);
		discovery = discoveredStates.get(discovery.previousKey);
	}

	return steps;
}
