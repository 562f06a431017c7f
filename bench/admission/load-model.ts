import {ModelServer} from '../../source/admission/model-server-fake.js';
import {retryAfter} from '../../source/admission/retry-after.js';
import {type Milliseconds} from '../../source/clock/clock.js';
import {ManualClock} from '../../source/clock/manual-clock.js';
import {silentLogger} from '../../source/observability/logger.js';
import {SeededRandom} from '../../source/random/random.js';
import {ReadPlacement, type ReadOutcome} from '../../source/session-proxy/read-placement.js';
import {orderMembersForRead} from '../../source/session-proxy/read-policy.js';
import {PriorityGate, QueueGate, type MemberGate} from './member-gate.js';
import {
	eventStart, requestClasses, usualServiceTime, type RequestClass, type Scenario,
} from './scenarios.js';

const memberIds = ['a', 'b', 'c'];
const instanceCount = 6;
const customerCount = 87;
const zipfExponent = 1.2;
const busyRetryDelay: Milliseconds = 15;

/** Retry-after time of all refusals before it was computed. */
const fixedRetryAfter: Milliseconds = 200;

/** How a request ended for its client. */
export type RequestEnd = 'answered' | 'refused' | 'lost';

/** A request with its end. */
export type RequestResult = {
	readonly requestClass: RequestClass;
	readonly end: RequestEnd;
	readonly elapsed: Milliseconds;
};

/** Whether the rules before or after this work decide. */
export type RuleSet = 'before' | 'after';

type Instance = {
	readonly gates: ReadonlyMap<string, MemberGate>;
	readonly placement: ReadPlacement;
};

type Request = {
	readonly requestClass: RequestClass;
	readonly customer: string;
	readonly firstSentAt: Milliseconds;
};

/** An attempt of a client to have a request answered, with the members that are left to try. */
type Attempt = {
	readonly request: Request;
	readonly instance: Instance;
	readonly deadline: Milliseconds;
	readonly untried: string[];
	hasFailed: boolean;
};

/** Clients, instances and the three members of one service on the manual clock, without sockets. */
export class LoadModel {
	readonly results: RequestResult[] = [];
	readonly members: ReadonlyMap<string, ModelServer>;
	readonly #clock = new ManualClock();
	readonly #random: SeededRandom;
	readonly #instances: readonly Instance[];
	readonly #customerWeights = Array.from({length: customerCount}, (_, index) => 1 / ((index + 1) ** zipfExponent));

	constructor(private readonly scenario: Scenario, private readonly ruleSet: RuleSet, seed: number) {
		this.#random = new SeededRandom(seed);
		this.members = new Map(memberIds.map(id => [id, new ModelServer(this.#clock, this.#random, {
			slots: 4,
			queueLimit: 32,
			serviceTime: now => -Math.log(1 - this.#random.fraction()) * usualServiceTime * (scenario.serviceFactor?.(id, now) ?? 1),
			failureShare: now => scenario.failureShare?.(id, now) ?? 0,
		})]));
		this.#instances = Array.from({length: instanceCount}, () => ({
			gates: new Map(memberIds.map(id => [id, ruleSet === 'after' ? new QueueGate(this.#clock) : new PriorityGate(this.#clock)])),
			placement: new ReadPlacement({
				service: 'service', clock: this.#clock, logger: silentLogger, random: this.#random,
			}),
		}));
	}

	/** Sends the requests of the scenario for a duration, and then waits until all have ended. */
	run(duration: Milliseconds): void {
		for (let now = 0; now < duration; now++) {
			if (now === eventStart && this.scenario.restarted !== undefined && this.ruleSet === 'after') {
				for (const {placement} of this.#instances) {
					placement.beginRecovery(this.scenario.restarted, 'started');
				}
			}

			for (const requestClass of requestClasses) {
				this.#arrive(requestClass, now);
			}

			this.#tick();
		}

		for (let elapsed = 0; elapsed < 5000; elapsed++) {
			this.#tick();
		}
	}

	#tick(): void {
		this.#clock.advance(1);
		for (const {gates} of this.#instances) {
			for (const gate of gates.values()) {
				gate.refuseUnanswerable();
			}
		}
	}

	#arrive(requestClass: RequestClass, now: Milliseconds): void {
		const perMillisecond = requestClass.perSecond / 1000 * (this.scenario.rateFactor?.(requestClass.priority, now) ?? 1);
		const total = this.#customerWeights.reduce((sum, weight) => sum + weight, 0);
		const customerFactor = this.scenario.customerFactor?.(now) ?? 1;
		const firstShare = this.#customerWeights[0] / total;
		if (this.#random.fraction() < perMillisecond * (1 + (firstShare * (customerFactor - 1)))) {
			this.#send({requestClass, customer: this.#chooseCustomer(customerFactor), firstSentAt: now});
		}
	}

	#chooseCustomer(firstFactor: number): string {
		const weights = this.#customerWeights.map((weight, index) => index === 0 ? weight * firstFactor : weight);
		let rest = this.#random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
		const index = weights.findIndex(weight => {
			rest -= weight;
			return rest < 0;
		});
		return `customer-${index}`;
	}

	#send(request: Request): void {
		const instance = this.#instances[this.#random.integerBelow(instanceCount)];
		this.#tryMembers({
			request, instance, deadline: this.#clock.now() + request.requestClass.statementTimeout, untried: [...this.#orderMembers(instance)], hasFailed: false,
		});
	}

	#orderMembers({gates, placement}: Instance): readonly string[] {
		const isAfter = this.ruleSet === 'after';
		if (isAfter) {
			placement.observe(memberIds.map(id => ({id, isPrimary: false, isFailing: false})));
		}

		const candidates = [...gates].map(([id, {load, expectedReplyTime}]) => ({
			id,
			isPrimary: false,
			isInSameDataCentre: true,
			isFailing: false,
			isAvoided: false,
			load,
			expectedReplyTime,
			logPosition: undefined,
			logPositionAge: 0,
			recoveryShare: isAfter ? placement.recoveryShareOf(id) : 1,
			isEjected: isAfter && placement.isEjected(id),
		}));
		const required = {term: 1, position: 1};
		return orderMembersForRead(candidates, {required, consistency: 'boundedStaleness', draw: isAfter ? placement.drawRead() : 0}).map(({id}) => id);
	}

	#tryMembers(attempt: Attempt): void {
		const {request, instance, deadline} = attempt;
		const now = this.#clock.now();
		const id = attempt.untried.shift();
		if (id === undefined) {
			if (attempt.hasFailed) {
				this.#end(request, 'lost');
			} else if (now + busyRetryDelay < deadline) {
				this.#clock.schedule(busyRetryDelay, () => {
					attempt.untried.push(...this.#orderMembers(instance));
					this.#tryMembers(attempt);
				});
			} else {
				this.#refuse(request, instance);
			}

			return;
		}

		const gate = instance.gates.get(id)!;
		gate.add({
			priority: request.requestClass.priority,
			arrivedAt: now,
			deadline,
			latencyTarget: request.requestClass.latencyTarget,
			customer: request.customer,
			isInTransaction: false,
			onTaken: () => {
				this.#runOn(id, gate, attempt);
			},
			onRefused: () => {
				this.#refuse(request, instance);
			},
		});
		gate.dispatch();
	}

	#runOn(id: string, gate: MemberGate, attempt: Attempt): void {
		const sentAt = this.#clock.now();
		const recordEnd = attempt.instance.placement.recordSent(id);
		this.members.get(id)!.run(outcome => {
			const ends: Readonly<Record<typeof outcome, ReadOutcome>> = {done: 'replied', failed: 'failed', busy: 'overloaded'};
			recordEnd({outcome: ends[outcome], sentAt, latencyTarget: attempt.request.requestClass.latencyTarget});
			if (outcome === 'busy') {
				gate.recordRefusal(sentAt);
			} else {
				gate.recordReply(sentAt);
			}

			gate.inFlight--;
			if (outcome === 'done') {
				this.#end(attempt.request, 'answered');
			} else {
				attempt.hasFailed ||= outcome === 'failed';
				this.#tryMembers(attempt);
			}

			gate.dispatch();
		});
	}

	/** Refuses a request as not run. The client returns after the time that it is told, while it has a use for the reply. */
	#refuse(request: Request, {gates}: Instance): void {
		const usefulTime = request.requestClass.statementTimeout;
		const workAhead = Math.min(...[...gates.values()].map(({expectedReplyTime, load}) => expectedReplyTime * (1 + load)));
		const delay = this.ruleSet === 'after' ? retryAfter({kind: 'queue', workAhead}, usefulTime, this.#random) : fixedRetryAfter;
		if (this.#clock.now() + delay >= request.firstSentAt + request.requestClass.deadline) {
			this.#end(request, 'refused');
			return;
		}

		this.#clock.schedule(delay, () => {
			this.#send(request);
		});
	}

	#end(request: Request, end: RequestEnd): void {
		const elapsed = this.#clock.now() - request.firstSentAt;
		this.results.push({requestClass: request.requestClass, end: end === 'answered' && elapsed > request.requestClass.deadline ? 'lost' : end, elapsed});
	}
}
