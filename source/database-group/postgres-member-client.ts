import {Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {splitBackendMessages, type BackendMessage} from '../postgres-protocol/backend-message-splitter.js';
import {type BackendConnection, type BackendConnector} from '../postgres-protocol/backend-connection.js';
import {findBackendError, readTextRows} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberClient, MemberClientFactory} from './member-client.js';
import {parseMemberStatus, statusQuery} from './member-status-row.js';
import {type MemberStatus} from './types.js';

/** A group function that is called as a prepared statement. */
type PreparedFunction = {
	readonly name: string;
	readonly text: string;
};

const statusFunction: PreparedFunction = {name: 'status', text: statusQuery};
const leaseFunction: PreparedFunction = {name: 'lease', text: 'SELECT * FROM group_lease($1, $2)'};

/** A connection and the row descriptions of the statements prepared on it. */
type MonitorConnection = {
	readonly connection: BackendConnection;
	readonly rowDescriptions: Map<string, BackendMessage>;
};

/** Returns the `application_name` with which a pool connects to members. */
export function clientNameOf(pool: string): string {
	return `buckthornhitch/${pool}`;
}

/**
Calls the group functions over one PostgreSQL connection, one call at a time.

The status and lease calls, which the polls repeat, use prepared statements, because the row description makes up most of the response to a simple query.
*/
export class PostgresMemberClient extends MemberClient {
	#monitorConnection: MonitorConnection | undefined;
	#lastCall: Promise<unknown> = Promise.resolve();
	#generation = 0;
	#closed = false;

	constructor(private readonly connector: BackendConnector, private readonly database: string, private readonly address: Address, private readonly poolName: string) {
		super();
	}

	override async status(timeout: Milliseconds): Promise<MemberStatus> {
		return this.#callPrepared(statusFunction, [], timeout);
	}

	override async acquireLease(holder: string, duration: Milliseconds, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#callPrepared(leaseFunction, [holder, String(Math.round(duration))], timeout);
	}

	override async releaseLease(holder: string, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_release(${quoteLiteral(holder)})`, timeout);
	}

	override async promise(term: number, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_promise(${term})`, timeout);
	}

	override async promote(term: number, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_promote(${term})`, timeout);
	}

	override async follow(term: number, primary: string, primaryAddress: Address, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_follow(${term}, ${quoteLiteral(primary)}, ${quoteLiteral(primaryAddress)})`, timeout);
	}

	override reset(): void {
		this.#generation++;
		this.#monitorConnection?.connection.close();
		this.#monitorConnection = undefined;
	}

	override close(): void {
		this.#closed = true;
		this.reset();
	}

	async #call(query: string, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#enqueue(async () => {
			const monitorConnection = await this.#connect(timeout);
			return this.#readStatus(await this.#exchange(monitorConnection, serialize.query(query), timeout));
		});
	}

	async #callPrepared(prepared: PreparedFunction, values: readonly string[], timeout: Milliseconds): Promise<MemberStatus> {
		return this.#enqueue(async () => {
			const monitorConnection = await this.#connect(timeout);
			const cachedDescription = monitorConnection.rowDescriptions.get(prepared.name);
			const messages = await this.#exchange(monitorConnection, encodePreparedCall(prepared, values, cachedDescription !== undefined), timeout);
			const rowDescription = cachedDescription ?? messages.find(({type}) => type === 'T');
			if (rowDescription) {
				monitorConnection.rowDescriptions.set(prepared.name, rowDescription);
			}

			return this.#readStatus(cachedDescription ? [cachedDescription, ...messages] : messages);
		});
	}

	async #enqueue(action: () => Promise<MemberStatus>): Promise<MemberStatus> {
		const result = this.#lastCall.then(action);
		this.#lastCall = result.catch(() => undefined);
		return result;
	}

	async #exchange({connection}: MonitorConnection, bytes: Buffer, timeout: Milliseconds): Promise<readonly BackendMessage[]> {
		const [response] = await connection.exchange(bytes, 1, timeout).catch((error: unknown) => {
			throw toMemberUnreachable(error);
		});
		return response ? splitBackendMessages(response) : [];
	}

	#readStatus(messages: readonly BackendMessage[]): MemberStatus {
		const reported = findBackendError(messages);
		if (reported) {
			throw new BuckthornhitchError('memberRefused', `${this.address}: ${reported.message} (SQLSTATE ${reported.sqlState})`);
		}

		return parseMemberStatus(readTextRows(messages)[0]);
	}

	async #connect(timeout: Milliseconds): Promise<MonitorConnection> {
		if (this.#monitorConnection && !this.#monitorConnection.connection.isClosed) {
			return this.#monitorConnection;
		}

		const generation = this.#generation;
		const connection = await this.connector.connect(this.address, this.database, clientNameOf(this.poolName), timeout).catch((error: unknown) => {
			throw toMemberUnreachable(error);
		});
		if (this.#closed || generation !== this.#generation) {
			connection.close();
			throw new BuckthornhitchError('memberUnreachable', `${this.address}: the monitor connection was reset.`);
		}

		this.#monitorConnection = {connection, rowDescriptions: new Map()};
		return this.#monitorConnection;
	}
}

/** Creates clients that use the PostgreSQL protocol. */
export class PostgresMemberClientFactory extends MemberClientFactory {
	constructor(private readonly connector: BackendConnector, private readonly poolName: string) {
		super();
	}

	override create(database: string, member: string, address: Address): MemberClient {
		return new PostgresMemberClient(this.connector, database, address, this.poolName);
	}
}

/** Encodes the messages that execute a prepared function; the first call on a connection also prepares and describes it. */
function encodePreparedCall({name, text}: PreparedFunction, values: readonly string[], isPrepared: boolean): Buffer {
	return Buffer.concat([
		...(isPrepared ? [] : [serialize.parse({name, text}), serialize.describe({type: 'S', name})]),
		serialize.bind({statement: name, values: [...values]}),
		serialize.execute(),
		serialize.sync(),
	]);
}

function toMemberUnreachable(error: unknown): BuckthornhitchError {
	const failure = toBuckthornhitchError(error);
	return failure.codeName === 'memberUnreachable' ? failure : new BuckthornhitchError('memberUnreachable', failure.detail, {cause: error});
}

function quoteLiteral(text: string): string {
	return `'${text.replaceAll('\'', '\'\'')}'`;
}
