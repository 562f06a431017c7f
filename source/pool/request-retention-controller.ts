import {serialize} from 'pg-protocol';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {mayUseMember} from '../database-group/group-state.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {findErrorInResponse, readTextRows} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {findPrimary, type ExecutionContext, type PoolRequest} from './execution-context.js';
import {type ExecuteResponse} from './messages.js';
import {requestIdCreationTime, undefinedTableSqlState} from './idempotent-request-executor.js';

/** Dependencies of a RequestRetentionController. */
export type RequestRetentionOptions = {
	readonly context: ExecutionContext;
	/** Runs a write on the primary. */
	readonly executeWrite: (request: PoolRequest) => Promise<ExecuteResponse>;
	/** Records an event in the timeline. */
	readonly recordEvent: (kind: string, detail: string) => void;
};

const removalInterval: Milliseconds = 60_000;
const recordsPerBatch = 500;

/** Records are kept this much longer than their ids are accepted, to allow for clock skew between callers and pools. */
const clockSkewAllowance: Milliseconds = 3_600_000;

/**
Periodically removes the records of request ids whose retention time has passed.

Only records whose ids contain a creation time are removed. An id without a creation time that is repeated after the removal of its record could not be distinguished from a new one.
*/
export class RequestRetentionController extends Controller {
	#cancel: Cancel | undefined;
	/** Request id after which the next batch starts. */
	#lastRequestId = '';

	constructor(private readonly options: RequestRetentionOptions) {
		super();
	}

	override start(): void {
		this.#cancel = this.options.context.clock.repeat(removalInterval, () => {
			void this.removeExpired();
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	/** Removes one batch of expired records if this pool may use the primary. */
	async removeExpired(): Promise<void> {
		const {context, recordEvent} = this.options;
		const primary = findPrimary(context.board);
		if (!primary || !mayUseMember(context.board, primary.member, context.clock.now())) {
			return;
		}

		try {
			const ids = await this.#findExpiredIds();
			if (ids.length > 0) {
				await this.#executeQuery(ids.map(id => `DELETE FROM buckthornhitch_requests WHERE request_id = '${id}'`).join('; '));
				recordEvent('request records removed', String(ids.length));
			}
		} catch (error) {
			recordEvent('request records not removed', toBuckthornhitchError(error).message);
		}
	}

	async #findExpiredIds(): Promise<readonly string[]> {
		const {clock, limits} = this.options.context;
		const oldestAllowed = Math.floor(clock.wallTime() - limits().requestIdRetention - clockSkewAllowance);
		const condition = `recorded_at < ${oldestAllowed} AND request_id > '${this.#lastRequestId.replaceAll('\'', '\'\'')}'`;
		const response = await this.#executeQuery(`SELECT request_id FROM buckthornhitch_requests WHERE ${condition} ORDER BY request_id LIMIT ${recordsPerBatch}`);
		const ids = readTextRows(splitBackendMessages(response.bytes)).map(row => row.request_id ?? '');
		this.#lastRequestId = ids.length < recordsPerBatch ? '' : ids.at(-1) ?? '';
		return ids.filter(id => (requestIdCreationTime(id) ?? oldestAllowed) < oldestAllowed);
	}

	async #executeQuery(text: string): Promise<ExecuteResponse> {
		const {context: {clock, database, limits}, executeWrite} = this.options;
		const deadline = limits().requestDeadline;
		const arrivedAt = clock.now();
		const response = await executeWrite({
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
		const queryError = findErrorInResponse(response.bytes);
		if (queryError && queryError.sqlState !== undefinedTableSqlState) {
			throw new BuckthornhitchError('memberRefused', `SQLSTATE ${queryError.sqlState}`);
		}

		return response;
	}
}
