import {serialize} from 'pg-protocol';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {mayUseMember} from '../database-group/group-state.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {findErrorInResponse, readTextRows} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {primaryOf, type ExecutionContext, type PoolRequest} from './execution-context.js';
import {type ExecuteResponse} from './messages.js';
import {requestIdTime, undefinedTableSqlState} from './idempotent-request-executor.js';

/** What the removal of old records needs. */
export type RequestRetentionOptions = {
	readonly context: ExecutionContext;
	/** Runs a write. */
	readonly execute: (request: PoolRequest) => Promise<ExecuteResponse>;
	/** Records an event. */
	readonly record: (kind: string, detail: string) => void;
};

const period: Milliseconds = 60_000;
const recordsPerRound = 500;

/** Records are kept for this much longer than their ids are accepted, since the clocks of callers and pools differ. */
const clockAllowance: Milliseconds = 3_600_000;

/**
Removes records of request ids whose retention time has passed.

Only ids that carry their time are removed: a repeated id without one could not be told from a new one once its record is gone.
*/
export class RequestRetentionController extends Controller {
	#cancel: Cancel | undefined;
	/** Id after which the next round begins. */
	#after = '';

	constructor(private readonly options: RequestRetentionOptions) {
		super();
	}

	override start(): void {
		this.#cancel = this.options.context.clock.repeat(period, () => {
			void this.removeOld();
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	/** Removes one round of old records if this pool may use the primary. */
	async removeOld(): Promise<void> {
		const {context, record} = this.options;
		const primary = primaryOf(context.board);
		if (!primary || !mayUseMember(context.board, primary.member, context.clock.now())) {
			return;
		}

		try {
			const ids = await this.#expiredIds();
			if (ids.length > 0) {
				await this.#query(ids.map(id => `DELETE FROM buckthornhitch_requests WHERE request_id = '${id}'`).join('; '));
				record('request records removed', String(ids.length));
			}
		} catch (error) {
			record('request records not removed', toBuckthornhitchError(error).message);
		}
	}

	async #expiredIds(): Promise<readonly string[]> {
		const {clock, limits} = this.options.context;
		const oldest = Math.floor(clock.wallTime() - limits().requestIdRetention - clockAllowance);
		const condition = `recorded_at < ${oldest} AND request_id > '${this.#after.replaceAll('\'', '\'\'')}'`;
		const response = await this.#query(`SELECT request_id FROM buckthornhitch_requests WHERE ${condition} ORDER BY request_id LIMIT ${recordsPerRound}`);
		const ids = readTextRows(splitBackendMessages(response.bytes)).map(row => row.request_id ?? '');
		this.#after = ids.length < recordsPerRound ? '' : ids.at(-1) ?? '';
		return ids.filter(id => (requestIdTime(id) ?? oldest) < oldest);
	}

	async #query(text: string): Promise<ExecuteResponse> {
		const {context: {clock, database, limits}, execute} = this.options;
		const deadline = limits().requestDeadline;
		const arrivedAt = clock.now();
		const response = await execute({
			database,
			sessionId: '',
			transactionId: null,
			access: 'write',
			bytes: serialize.query(text),
			neededPoint: null,
			maximumAge: null,
			requestId: null,
			deadline,
			arrivedAt,
			deadlineAt: arrivedAt + deadline,
			linkId: 0,
		});
		const reported = findErrorInResponse(response.bytes);
		if (reported && reported.sqlState !== undefinedTableSqlState) {
			throw new BuckthornhitchError('memberRefused', `SQLSTATE ${reported.sqlState}`);
		}

		return response;
	}
}
