import {fromTransition, type EventObject} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';

/** A small state machine with an invariant. States and events are plain data. */
export abstract class Specification<State extends Readonly<Record<string, unknown>>, Step extends EventObject> {
	/** Title in reports. */
	abstract readonly title: string;

	/** States that the exploration may reach at most. */
	abstract readonly bound: number;

	/** Returns the first state. */
	abstract initial(): State;

	/** Returns the steps that are possible in the state. */
	abstract steps(state: State): readonly Step[];

	/** Returns the state after the step, or the same object when the step has no effect. */
	abstract next(state: State, step: Step): State;

	/** Returns the broken invariant, or undefined. */
	abstract violation(state: State): string | undefined;
}

/** Result of an exploration. */
export type Exploration = {
	readonly title: string;
	readonly states: number;
	readonly transitions: number;
	/** The broken invariant, or undefined when every reachable state holds it. */
	readonly violation: string | undefined;
	/** Shortest list of steps that leads to the violation. */
	readonly counterexample: readonly string[];
};

type Discovery = {
	readonly previousKey: string;
	readonly step: string;
};

/**
Explores all reachable states breadth first; stops at the first violation.

Throws when more states than the bound are reached. Steps to states that were reached before are counted and not followed, which keeps the queue of the library short.
*/
export function explore<State extends Readonly<Record<string, unknown>>, Step extends EventObject>(specification: Specification<State, Step>): Exploration {
	const initialKey = JSON.stringify(specification.initial());
	const discovered = new Map<string, Discovery | undefined>([[initialKey, undefined]]);
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
		if (discovered.has(key)) {
			return false;
		}

		discovered.set(key, {previousKey: JSON.stringify(state), step: JSON.stringify(step)});
		return true;
	};

	const logic = fromTransition((state: State, step: Step) => specification.next(state, step), specification.initial());
	getAdjacencyMap(logic, {
		events: snapshot => violation ? [] : specification.steps(snapshot.context),
		filterEvents: (snapshot, step) => discover(snapshot.context, step),
		serializeState: snapshot => JSON.stringify(snapshot.context),
		serializeEvent: step => JSON.stringify(step),
		limit: specification.bound,
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
		states: discovered.size,
		transitions,
		violation,
		counterexample: violation ? pathTo(violatingKey, discovered) : [],
	};
}

function pathTo(violatingKey: string, discovered: ReadonlyMap<string, Discovery | undefined>): readonly string[] {
	const steps: string[] = [];
	let discovery = discovered.get(violatingKey);
	while (discovery) {
		steps.unshift(discovery.step);
		discovery = discovered.get(discovery.previousKey);
	}

	return steps;
}
