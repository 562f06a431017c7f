import {type Milliseconds} from '../../source/clock/clock.js';
import {warmingServiceTime} from '../../source/admission/model-server-fake.js';

/** Class of requests of deployment A, at one of its six services. */
export type RequestClass = {
	readonly priority: number;
	readonly perSecond: number;
	readonly latencyTarget: Milliseconds;
	readonly statementTimeout: Milliseconds;
	/** Time for which the client has a use for the reply. */
	readonly deadline: Milliseconds;
};

/** Request classes of deployment A, at one of its six services. */
export const requestClasses: readonly RequestClass[] = [
	{
		priority: 0, perSecond: 11, latencyTarget: 400, statementTimeout: 800, deadline: 2500,
	},
	{
		priority: 1, perSecond: 19, latencyTarget: 600, statementTimeout: 1500, deadline: 4000,
	},
	{
		priority: 2, perSecond: 52, latencyTarget: 1500, statementTimeout: 800, deadline: 2500,
	},
];

/** Mean service time with which the usual load takes two thirds of the slots of three members. */
export const usualServiceTime: Milliseconds = 100;

/** Time at which the event of a scenario begins. */
export const eventStart: Milliseconds = 8000;

/** Load and faults of one run. Factors apply to the usual rates and service times. */
export type Scenario = {
	readonly name: string;
	readonly rateFactor?: (priority: number, now: Milliseconds) => number;
	/** Factor on the rate of the customer with the most requests. */
	readonly customerFactor?: (now: Milliseconds) => number;
	readonly serviceFactor?: (member: string, now: Milliseconds) => number;
	readonly failureShare?: (member: string, now: Milliseconds) => number;
	/** Member that starts again at the begin of the event. */
	readonly restarted?: string;
};

const isDuring = (now: Milliseconds, duration: Milliseconds): boolean => now >= eventStart && now < eventStart + duration;
const warming = warmingServiceTime(1, 8, eventStart, 8000);

/** Loads and faults of the design page that the rules of admission answer. */
export const scenarios: readonly Scenario[] = [
	{name: 'usual load'},
	{name: 'lowest priority 2.6 times for 6 s', rateFactor: (priority, now) => priority === 2 && isDuring(now, 6000) ? 2.6 : 1},
	{name: 'one customer 8 times for 6.5 s', customerFactor: now => isDuring(now, 6500) ? 8 : 1},
	{name: 'one member cold for 8 s', restarted: 'c', serviceFactor: (member, now) => member === 'c' && now >= eventStart ? warming(now) : 1},
	{name: 'one member fails 40% for 10 s', failureShare: (member, now) => member === 'c' && isDuring(now, 10_000) ? 0.4 : 0},
	{name: 'one member 5 times slower for 8 s', serviceFactor: (member, now) => member === 'c' && isDuring(now, 8000) ? 5 : 1},
];
