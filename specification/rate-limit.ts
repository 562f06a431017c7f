import {Specification} from './explorer.js';
import {
	countedOperations, createControl, createEntry, withControl, withEntry, withoutEndedGrants,
	type ControlModel, type ControlStepType, type EntryStepType, type HolderModel, type LimitState, type LimitStep, type ShareMessage,
} from './rate-limit-state.js';

/** Rule that an exploration breaks on purpose; `none` for the protocol as implemented. */
export type LimitMutation =
	| 'none'
	| 'forgetGrantsAfterFreeze'
	| 'fullLimitInPartition'
	| 'reportIncrements'
	| 'ignoreUnacknowledged'
	| 'grantAfterStart';

/** Faults that instances and the network may have. */
export type LimitFault = 'entryRestart' | 'controlFreeze' | 'controlRestart' | 'quietPartition' | 'partition';

/** Kinds of messages that may be late and repeated. All kinds may be lost. */
export type LateMessage = 'request' | 'report' | 'share';

/** Bounds of an exploration. */
export type LimitBounds = {
	readonly entryCount: number;
	/** Operations that all instances together may admit in the window. */
	readonly limit: number;
	/** Requests that each process of an entry instance may send, and operations that each asks for. */
	readonly requestLimit: number;
	readonly operationsPerRequest: number;
	/** Highest number of times that a process of an entry instance begins to watch the other control instance. */
	readonly changeLimit: number;
	readonly faults: readonly LimitFault[];
	/** Messages of other kinds are received at once or not at all. */
	readonly lateMessages: readonly LateMessage[];
	/** Highest number of faults in one behaviour. */
	readonly faultLimit: number;
};

const entryStepTypes: readonly EntryStepType[] = ['ask', 'handleRequest', 'receiveAnswer', 'giveUp', 'sendReport', 'deliverReport', 'watchOther', 'restart'];
const controlStepTypes: readonly ControlStepType[] = ['sendShare', 'deliverShare', 'deliverShareWithoutAnswer', 'stopHearing', 'becomeReady', 'freeze', 'resume', 'stop', 'start'];
const controlIds = [0, 1] as const;
/** Control instance that grants what the other one leaves by rounding. */
const ownerId = 0;
/** A repeated request is handled twice at most. */
const maximumHandling = 2;

/**
Model of the limit of one customer in one window, with two control instances and grants on request.

Nothing expires within the window. Time-outs are steps that are possible once their cause is given. An entry instance whose control instance is frozen or down reports to the other one before that one stops waiting for it (about 950 ms and 1 s).
*/
export class RateLimitSpecification extends Specification<LimitState, LimitStep> {
	override readonly title = 'rate limits';
	override readonly stateLimit = 1_000_000;
	readonly #steps: readonly LimitStep[];

	constructor(private readonly mutation: LimitMutation, private readonly bounds: LimitBounds) {
		super();
		const entryIds = Array.from({length: this.#processCount}, (_, index) => index);
		this.#steps = [
			...entryIds.flatMap(entry => entryStepTypes.map(type => ({type, entry}))),
			...controlIds.flatMap(control => controlStepTypes.map(type => ({type, control}))),
			{type: 'partition'},
		];
	}

	override initial(): LimitState {
		const entries = Array.from({length: this.#processCount}, (_, index) => ({...createEntry(index % controlIds.length), isDead: index >= this.bounds.entryCount}));
		const controls = controlIds.map(id => ({
			...createControl(1, entries.length), isReady: true, hearsPeer: true, peerRun: 1,
			holders: entries.map(({control, isDead}): HolderModel => ({
				isEntry: control === id && !isDead, used: 0, reportNumber: 0, joined: [0, 0], grants: [],
			})),
		}));
		return {
			controls, entries, isPartitioned: false, faultCount: 0,
		};
	}

	override steps(): readonly LimitStep[] {
		return this.#steps;
	}

	override next(state: LimitState, step: LimitStep): LimitState {
		if ('entry' in step) {
			return this.#nextOfEntry(state, step.type, step.entry);
		}

		return 'control' in step ? this.#nextOfControl(state, step.type, step.control) : this.#partition(state);
	}

	override violation(state: LimitState): string | undefined {
		let admitted = 0;
		for (const {used} of state.entries) {
			admitted += used;
		}

		return admitted > this.bounds.limit ? `${admitted} operations were admitted and ${this.bounds.limit} are permitted` : undefined;
	}

	/** Processes of entry instances, of which the last ones are started by a restart. */
	get #processCount(): number {
		const {entryCount, faults} = this.bounds;
		return entryCount + Number(faults.includes('entryRestart'));
	}

	#nextOfEntry(state: LimitState, type: EntryStepType, id: number): LimitState {
		const {isDead, control, changeCount, request, openRequest, used} = state.entries[id];
		switch (type) {
			case 'ask': {
				return this.#ask(state, id);
			}

			case 'handleRequest': {
				return this.#handleRequest(state, id);
			}

			case 'receiveAnswer': {
				return request && openRequest !== 0 && request.number === openRequest && request.timesHandled > 0 ? withEntry(state, id, {used: used + request.granted, openRequest: 0}) : state;
			}

			case 'giveUp': {
				return openRequest === 0 ? state : withEntry(state, id, {openRequest: 0});
			}

			case 'sendReport': {
				return this.#sendReport(state, id);
			}

			case 'deliverReport': {
				return this.#deliverReport(state, id);
			}

			case 'watchOther': {
				return isDead || changeCount === this.bounds.changeLimit ? state : withEntry(state, id, {control: 1 - control, changeCount: changeCount + 1});
			}

			case 'restart': {
				return this.#restartEntry(state, id);
			}
		}
	}

	#nextOfControl(state: LimitState, type: ControlStepType, id: number): LimitState {
		const {condition, isReady, hearsPeer} = state.controls[id];
		switch (type) {
			case 'sendShare': {
				return this.#sendShare(state, id);
			}

			case 'deliverShare': {
				return this.#deliverShare(state, id, false);
			}

			case 'deliverShareWithoutAnswer': {
				return this.#deliverShare(state, id, true);
			}

			case 'stopHearing': {
				return hearsPeer && condition === 'running' && this.#isPeerSilent(state, id) ? withControl(state, id, {hearsPeer: false, acknowledgedSum: 0}) : state;
			}

			case 'becomeReady': {
				return condition === 'running' && !isReady && (hearsPeer || this.#isPeerSilent(state, id)) ? withControl(state, id, {isReady: true}) : state;
			}

			case 'freeze': {
				return this.#mayFail(state, 'controlFreeze') && condition === 'running' ? withControl({...state, faultCount: state.faultCount + 1}, id, {condition: 'frozen'}) : state;
			}

			case 'resume': {
				return this.#resume(state, id);
			}

			case 'stop': {
				return this.#stop(state, id);
			}

			case 'start': {
				return this.#start(state, id);
			}
		}
	}

	#sendShare(state: LimitState, id: number): LimitState {
		if (state.controls[id].condition !== 'running') {
			return state;
		}

		const sent = withChangedShare(state, id, createShare(state.controls[id]));
		return this.#mayBeLate('share') ? sent : unchangedIfEqual(state, withControl(this.#deliverShare(sent, id, false), id, {share: null}));
	}

	#mayFail(state: LimitState, fault: LimitFault): boolean {
		return this.bounds.faults.includes(fault) && state.faultCount < this.bounds.faultLimit;
	}

	#ask(state: LimitState, id: number): LimitState {
		const {isDead, openRequest, nextRequest, control} = state.entries[id];
		if (isDead || openRequest !== 0 || nextRequest > this.bounds.requestLimit) {
			return state;
		}

		const asked = withEntry(state, id, {
			openRequest: nextRequest, nextRequest: nextRequest + 1, request: {
				control, number: nextRequest, timesHandled: 0, granted: 0,
			},
		});
		return this.#mayBeLate('request') ? asked : this.#handleRequest(asked, id);
	}

	#mayBeLate(kind: LateMessage): boolean {
		return this.bounds.lateMessages.includes(kind);
	}

	#handleRequest(state: LimitState, id: number): LimitState {
		const {request} = state.entries[id];
		if (!request || request.timesHandled === (this.#mayBeLate('request') ? maximumHandling : 1) || state.controls[request.control].condition !== 'running') {
			return state;
		}

		const control = state.controls[request.control];
		const granted = Math.min(this.bounds.operationsPerRequest, this.#available(control, request.control));
		const holder = control.holders[id];
		const grants = granted > 0 ? [...holder.grants, [request.number, granted] as const] : holder.grants;
		const handled = withControl(state, request.control, {holders: control.holders.with(id, {...holder, grants})});
		// The entry instance uses the first answer that arrives; the model lets it be the larger one.
		return withEntry(handled, id, {request: {...request, timesHandled: request.timesHandled + 1, granted: Math.max(request.granted, granted)}});
	}

	/** Operations that a control instance may grant, as `UsageLedger` computes them. */
	#available(control: ControlModel, id: number): number {
		const {hearsPeer, isReady, peerSum, acknowledgedSum, holders} = control;
		if (!isReady) {
			return 0;
		}

		const own = countedOperations(control);
		const {limit: total, entryCount} = this.bounds;
		const watching = holders.filter(({isEntry}) => isEntry).length;
		const share = hearsPeer || this.mutation === 'fullLimitInPartition' ? 1 : Math.min(1, watching / entryCount);
		const used = own + (hearsPeer ? peerSum : 0);
		const headroom = Math.min(Math.floor(total * share) - used, total - own - peerSum);
		const unacknowledged = hearsPeer && this.mutation !== 'ignoreUnacknowledged' ? Math.max(0, own - acknowledgedSum) : 0;
		const acknowledgedHeadroom = Math.max(0, headroom + unacknowledged);
		const controlCount = hearsPeer ? 2 : 1;
		const othersPart = Math.floor(acknowledgedHeadroom / (2 * controlCount));
		const isOwner = !hearsPeer || id === ownerId;
		const part = isOwner ? acknowledgedHeadroom - ((controlCount - 1) * othersPart) : othersPart;
		return Math.max(0, Math.min(headroom, part - unacknowledged));
	}

	#sendReport(state: LimitState, id: number): LimitState {
		const entry = state.entries[id];
		const firstOpenRequest = entry.openRequest === 0 ? entry.nextRequest : entry.openRequest;
		const before = entry.report;
		const holder = state.controls[entry.control].holders[id];
		const isReported = holder.isEntry && holder.used === entry.used && holder.grants.every(([request]) => request >= firstOpenRequest);
		if (entry.isDead || (isReported && !this.#mayBeLate('report')) || (before?.control === entry.control && before.used === entry.used && before.firstOpenRequest === firstOpenRequest)) {
			return state;
		}

		const number = entry.reportNumber + 1;
		const sent = withEntry(state, id, {
			reportNumber: number, report: {
				control: entry.control, number, used: entry.used, increment: entry.used - (before?.used ?? 0), firstOpenRequest,
			},
		});
		if (this.#mayBeLate('report')) {
			return sent;
		}

		const delivered = this.#deliverReport(sent, id);
		return delivered === sent ? state : withEntry(delivered, id, {report: null});
	}

	#deliverReport(state: LimitState, id: number): LimitState {
		const {report} = state.entries[id];
		if (!report || state.controls[report.control].condition !== 'running') {
			return state;
		}

		const {holders} = state.controls[report.control];
		const holder = holders[id];
		const isKnown = holder.isEntry && holder.reportNumber === report.number;
		// Increments are counted once for each report, which keeps the number of states finite.
		if (isKnown && (holder.used === report.used || this.mutation === 'reportIncrements') && holder.grants.every(([request]) => request >= report.firstOpenRequest)) {
			return state;
		}

		const received: HolderModel = {
			...withoutEndedGrants(holder, report.firstOpenRequest),
			isEntry: true,
			used: this.mutation === 'reportIncrements' ? holder.used + report.increment : report.used,
			reportNumber: report.number,
			joined: holder.isEntry ? holder.joined : [report.number, report.firstOpenRequest],
		};
		return withControl(state, report.control, {holders: holders.with(id, received)});
	}

	#deliverShare(state: LimitState, from: number, isAnswerLost: boolean): LimitState {
		const {share, run} = state.controls[from];
		const to = 1 - from;
		if (!share || state.isPartitioned || state.controls[to].condition !== 'running') {
			return state;
		}

		const received = receiveShare(state, to, share, run);
		if (isAnswerLost || state.controls[from].condition !== 'running') {
			return received;
		}

		const receiver = received.controls[to];
		const answered = receiveShare(received, from, createShare(receiver), receiver.run);
		// The answer is newer than a share of the receiver that is still in transit.
		return withControl(withControl(answered, from, {acknowledgedSum: share.sum}), to, {share: null});
	}

	/** Whether the other instance can have been silent for 1 s: it is frozen or down, or the two are partitioned. */
	#isPeerSilent(state: LimitState, id: number): boolean {
		return state.isPartitioned || (state.controls[1 - id].condition !== 'running' && haveLeft(state, 1 - id));
	}

	#restartEntry(state: LimitState, id: number): LimitState {
		const replacement = this.bounds.entryCount;
		if (!this.#mayFail(state, 'entryRestart') || state.entries[id].isDead || id === replacement || !state.entries[replacement].isDead || state.entries[replacement].used > 0) {
			return state;
		}

		const {control} = state.entries[id];
		const restarted = withEntry({...state, faultCount: state.faultCount + 1}, id, {
			isDead: true, openRequest: 0, report: null, request: null,
		});
		return withEntry(restarted, replacement, {isDead: false, control});
	}

	/** The instance notices that it was suspended, and grants nothing until it has heard the other one. */
	#resume(state: LimitState, id: number): LimitState {
		const {condition, holders} = state.controls[id];
		if (condition !== 'frozen') {
			return state;
		}

		const kept = this.mutation === 'forgetGrantsAfterFreeze' ? holders.map(holder => ({...holder, grants: []})) : holders;
		return withControl(state, id, {
			condition: 'running', holders: kept, hearsPeer: false, isReady: false, acknowledgedSum: 0,
		});
	}

	/** Stops the process. Its links end, so that requests to it are given up. */
	#stop(state: LimitState, id: number): LimitState {
		if (!this.#mayFail(state, 'controlRestart') || state.controls[id].condition !== 'running') {
			return state;
		}

		const entries = state.entries.map(entry => ({
			...entry,
			...(entry.request?.control === id && {request: null, openRequest: 0}),
			...(entry.report?.control === id && {report: null}),
		}));
		return withControl({...state, entries, faultCount: state.faultCount + 1}, id, {condition: 'down', share: null});
	}

	#start(state: LimitState, id: number): LimitState {
		const {condition, run} = state.controls[id];
		return condition === 'down' && haveLeft(state, id) ? withControl(state, id, {...createControl(run + 1, state.entries.length), isReady: this.mutation === 'grantAfterStart'}) : state;
	}

	/** With `quietPartition`, the instances have acknowledged each other's sums and stop hearing each other at once. */
	#partition(state: LimitState): LimitState {
		const partitioned = {...state, isPartitioned: true, faultCount: state.faultCount + 1};
		if (this.#mayFail(state, 'partition')) {
			return partitioned;
		}

		const isQuiet = state.controls.every((control, id) => countedOperations(control) === control.acknowledgedSum && state.controls[1 - id].peerSum === control.acknowledgedSum);
		return this.#mayFail(state, 'quietPartition') && isQuiet
			? {...partitioned, controls: state.controls.map(control => ({...control, hearsPeer: false, acknowledgedSum: 0}))}
			: state;
	}
}

/** Returns whether every running entry instance has reported to the other control instance and awaits no answer of this one. */
function haveLeft(state: LimitState, id: number): boolean {
	return state.entries.every(({isDead, used, openRequest, request, control}, index) => {
		const holder = state.controls[1 - id].holders[index];
		return isDead || (control === 1 - id && holder.isEntry && holder.used === used && (openRequest === 0 || request?.control !== id));
	});
}

/** Returns the first state if both are equal. */
function unchangedIfEqual(state: LimitState, next: LimitState): LimitState {
	return JSON.stringify(state) === JSON.stringify(next) ? state : next;
}

function createShare(control: ControlModel): ShareMessage {
	return {
		sum: countedOperations(control),
		joined: control.holders.flatMap(({isEntry, joined: [number, firstOpenRequest]}, entry) => isEntry ? [[entry, number, firstOpenRequest] as const] : []),
	};
}

/** Returns the state with the share in transit, or the same state if an equal one is. */
function withChangedShare(state: LimitState, id: number, share: ShareMessage): LimitState {
	return JSON.stringify(state.controls[id].share) === JSON.stringify(share) ? state : withControl(state, id, {share});
}

function receiveShare(state: LimitState, id: number, {sum, joined}: ShareMessage, run: number): LimitState {
	const control = state.controls[id];
	let {holders} = control;
	for (const [entry, number, firstOpenRequest] of joined) {
		const holder = holders[entry];
		if (holder.isEntry && holder.reportNumber < number) {
			holders = holders.with(entry, {...withoutEndedGrants(holder, firstOpenRequest), isEntry: false, used: 0});
		}
	}

	return withControl(state, id, {
		holders, hearsPeer: true, isReady: true, peerRun: run, peerSum: sum, acknowledgedSum: control.peerRun === run ? control.acknowledgedSum : 0,
	});
}
