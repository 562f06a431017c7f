import {type Milliseconds} from '../clock/clock.js';
import {type MemberConnection} from '../statement/member-connection.js';

/** Maximum number of attempts that are listed. The first ones and the last one are; those between are counted. */
export const maximumListedAttempts = 8;

/** Maximum number of statements of a transaction whose ids are listed; the most recent ones are. Transactions usually have at most 12. */
export const maximumListedStatements = 16;

/** Maximum length of the texts of members and of the texts and ids of callers, which may be as long as a line of the protocol. */
const maximumTextLength = 200;

/** One attempt to execute a request on a member, as it is logged. Times do not include those in which the request waited for its caller. */
export type TracedAttempt = {
	readonly member: string;
	/** Name of the gateway that relayed the statements; absent without one, and for an attempt that got no connection. */
	readonly gateway?: string;
	/** Time from the start of the request to the start of the attempt. */
	readonly startedAfter: Milliseconds;
	/** Time until the attempt got a connection of this instance, or ended without one. */
	readonly connectionWait: Milliseconds;
	/** Time for which the statements waited for a connection of the gateway; absent if they did not, or if the gateway did not state it. */
	readonly gatewayWait?: Milliseconds;
	/** Time from the connection to the end of the attempt, without the wait at the gateway but with the round trips to it; absent without a connection. */
	readonly memberTime?: Milliseconds;
	/** How often a statement of a transaction was sent again because the member was busy; absent if never. */
	readonly busyRetries?: number;
	readonly result: string;
};

/** Sums over the attempts that are not listed. */
export type OmittedAttempts = {
	readonly count: number;
	/** Time in which they waited for a connection, also for one of a gateway. */
	readonly connectionWait: Milliseconds;
	readonly memberTime: Milliseconds;
};

/** What was recorded about the execution of a request. */
export type RequestTimes = {
	/** Time from the arrival of the request to its end. */
	readonly elapsed: Milliseconds;
	/** Time in which a transaction waited for the next statement of its caller. */
	readonly callerTime: Milliseconds;
	/** Time until the limiter admitted or refused the operation. */
	readonly admissionTime: Milliseconds;
	/** Ids of the most recent statements of a transaction. */
	readonly statements: readonly string[];
	readonly attempts: readonly TracedAttempt[];
	readonly omitted: OmittedAttempts;
	/** Why no primary could be used; absent if one was. */
	readonly primaryError?: string;
};

/** What an attempt records of its connection. */
type RecordedConnection = Pick<MemberConnection, 'gateway' | 'gatewayWait'>;

/** Records one attempt to execute a request on a member. */
export class AttemptTrace {
	readonly #startedAfter: Milliseconds;
	#connectedAfter: Milliseconds | undefined;
	#endedAfter: Milliseconds | undefined;
	#connection: RecordedConnection | undefined;
	#gatewayWaitBefore: Milliseconds = 0;
	#gatewayWait: Milliseconds = 0;
	#busyRetryCount = 0;
	#result = '';

	/** The function returns the time since the start of the request without that of the caller. */
	constructor(private readonly member: string, private readonly workingTime: () => Milliseconds) {
		this.#startedAfter = workingTime();
	}

	/** Records that the attempt got a connection. */
	recordConnection(connection: RecordedConnection): void {
		this.#connectedAfter = this.workingTime();
		this.#connection = connection;
		this.#gatewayWaitBefore = connection.gatewayWait;
	}

	/** Records that a statement is sent again because the member was busy. */
	recordBusyRetry(): void {
		this.#busyRetryCount++;
	}

	/** Records the result. Only the first call has an effect. */
	end(result: string): void {
		if (this.#endedAfter === undefined) {
			this.#endedAfter = this.workingTime();
			this.#gatewayWait = (this.#connection?.gatewayWait ?? 0) - this.#gatewayWaitBefore;
			this.#result = boundText(result);
		}
	}

	/** Returns the record of the attempt, which must have ended. */
	describe(): TracedAttempt {
		const endedAfter = this.#endedAfter ?? this.workingTime();
		const connectedAfter = this.#connectedAfter ?? endedAfter;
		const gateway = this.#connection?.gateway;
		return {
			member: this.member,
			...(gateway !== undefined && {gateway}),
			startedAfter: Math.round(this.#startedAfter),
			connectionWait: Math.round(connectedAfter - this.#startedAfter),
			...(this.#gatewayWait > 0 && {gatewayWait: Math.round(this.#gatewayWait)}),
			...(this.#connectedAfter !== undefined && {memberTime: Math.max(0, Math.round(endedAfter - connectedAfter - this.#gatewayWait))}),
			...(this.#busyRetryCount > 0 && {busyRetries: this.#busyRetryCount}),
			result: this.#result,
		};
	}
}

/** Records how a request was executed, which is a statement or a whole transaction, in bounded space. */
export class RequestTrace {
	readonly #attempts: AttemptTrace[] = [];
	#omitted: OmittedAttempts = {count: 0, connectionWait: 0, memberTime: 0};
	readonly #statements: string[] = [];
	#admissionTime: Milliseconds = 0;
	#primaryError: string | undefined;
	#callerTime: Milliseconds = 0;
	/** Time since which the request waits for its caller; undefined while it does not. */
	#waitsForCallerSince: Milliseconds | undefined;

	constructor(private readonly now: () => Milliseconds, private readonly startedAt = now()) {}

	/** Records the beginning of an attempt. Beyond the number of listed attempts, it takes the place of the last one. */
	startAttempt(member: string): AttemptTrace {
		if (this.#attempts.length === maximumListedAttempts) {
			const {connectionWait, gatewayWait = 0, memberTime = 0} = this.#attempts.pop()!.describe();
			const {count, ...sums} = this.#omitted;
			this.#omitted = {count: count + 1, connectionWait: sums.connectionWait + connectionWait + gatewayWait, memberTime: sums.memberTime + memberTime};
		}

		const attempt = new AttemptTrace(member, () => this.#workingTime());
		this.#attempts.push(attempt);
		return attempt;
	}

	/** Records the id of a statement of a transaction. */
	recordStatement(id: string): void {
		this.#statements.push(boundText(id));
		if (this.#statements.length > maximumListedStatements) {
			this.#statements.shift();
		}
	}

	/** Adds the time that the limiter took for its answer. */
	recordAdmission(time: Milliseconds): void {
		this.#admissionTime += time;
	}

	/** Records why no primary was found, or that none confirmed its log position. */
	recordPrimaryError(error: string): void {
		this.#primaryError = boundText(error);
	}

	/** Whether a transaction waits for the next statement of its caller. */
	get isWaitingForCaller(): boolean {
		return this.#waitsForCallerSince !== undefined;
	}

	/** Records that a transaction waits for the next statement of its caller from now on. */
	startCallerTime(): void {
		this.#waitsForCallerSince ??= this.now();
	}

	/** Records that the caller has sent the next statement. */
	endCallerTime(): void {
		this.#callerTime += this.#currentCallerWait;
		this.#waitsForCallerSince = undefined;
	}

	/** Returns the record of the request, which ends now. Attempts that have not ended get the result. */
	finish(resultOfOpenAttempts: string): RequestTimes {
		this.endCallerTime();
		for (const attempt of this.#attempts) {
			attempt.end(resultOfOpenAttempts);
		}

		return {
			elapsed: Math.round(this.now() - this.startedAt),
			callerTime: Math.round(this.#callerTime),
			admissionTime: Math.round(this.#admissionTime),
			statements: [...this.#statements],
			attempts: this.#attempts.map(attempt => attempt.describe()),
			omitted: this.#omitted,
			...(this.#primaryError !== undefined && {primaryError: this.#primaryError}),
		};
	}

	get #currentCallerWait(): Milliseconds {
		return this.#waitsForCallerSince === undefined ? 0 : this.now() - this.#waitsForCallerSince;
	}

	#workingTime(): Milliseconds {
		return this.now() - this.startedAt - this.#callerTime - this.#currentCallerWait;
	}
}

/** Returns the text, shortened to the length that a log line may contain. */
export function boundText(text: string): string {
	return text.length > maximumTextLength ? `${text.slice(0, maximumTextLength)}...` : text;
}
