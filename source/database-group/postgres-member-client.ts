import {serialize} from 'pg-protocol';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {type BackendConnection, type BackendConnector} from '../postgres-protocol/backend-connection.js';
import {findBackendError, readTextRows} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberClient, MemberClientFactory} from './member-client.js';
import {readMemberStatus, statusQuery} from './member-status-row.js';
import {type MemberStatus} from './types.js';

/** Returns the application name under which a pool connects to members. */
export function clientNameOf(pool: string): string {
	return `buckthornhitch/${pool}`;
}

/** Calls the group functions over one connection of the PostgreSQL protocol, one call at a time. */
export class PostgresMemberClient extends MemberClient {
	#connection: BackendConnection | undefined;
	#previous: Promise<unknown> = Promise.resolve();
	#generation = 0;
	#closed = false;

	constructor(private readonly connector: BackendConnector, private readonly database: string, private readonly address: Address, private readonly pool: string) {
		super();
	}

	override async status(timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(statusQuery, timeout);
	}

	override async acquireLease(holder: string, duration: Milliseconds, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_lease(${quote(holder)}, ${Math.round(duration)})`, timeout);
	}

	override async releaseLease(holder: string, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_release(${quote(holder)})`, timeout);
	}

	override async promise(term: number, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_promise(${term})`, timeout);
	}

	override async promote(term: number, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_promote(${term})`, timeout);
	}

	override async follow(term: number, primary: string, primaryAddress: Address, timeout: Milliseconds): Promise<MemberStatus> {
		return this.#call(`SELECT * FROM group_follow(${term}, ${quote(primary)}, ${quote(primaryAddress)})`, timeout);
	}

	override reset(): void {
		this.#generation++;
		this.#connection?.close();
		this.#connection = undefined;
	}

	override close(): void {
		this.#closed = true;
		this.reset();
	}

	async #call(query: string, timeout: Milliseconds): Promise<MemberStatus> {
		const result = this.#previous.then(async () => this.#exchange(query, timeout));
		this.#previous = result.catch(() => undefined);
		return result;
	}

	async #exchange(query: string, timeout: Milliseconds): Promise<MemberStatus> {
		const connection = await this.#connect(timeout);
		const [response] = await connection.exchange(serialize.query(query), 1, timeout).catch((error: unknown) => {
			throw unreachable(error);
		});
		const messages = response ? splitBackendMessages(response) : [];
		const reported = findBackendError(messages);
		if (reported) {
			throw new BuckthornhitchError('memberRefused', `${this.address}: ${reported.message} (SQLSTATE ${reported.sqlState})`);
		}

		return readMemberStatus(readTextRows(messages)[0]);
	}

	async #connect(timeout: Milliseconds): Promise<BackendConnection> {
		if (this.#connection && !this.#connection.closed) {
			return this.#connection;
		}

		const generation = this.#generation;
		const connection = await this.connector.connect(this.address, this.database, clientNameOf(this.pool), timeout).catch((error: unknown) => {
			throw unreachable(error);
		});
		if (this.#closed || generation !== this.#generation) {
			connection.close();
			throw new BuckthornhitchError('memberUnreachable', `${this.address}: the monitor connection was reset.`);
		}

		this.#connection = connection;
		return connection;
	}
}

/** Makes clients that use the PostgreSQL protocol. */
export class PostgresMemberClientFactory extends MemberClientFactory {
	constructor(private readonly connector: BackendConnector, private readonly pool: string) {
		super();
	}

	override create(database: string, member: string, address: Address): MemberClient {
		return new PostgresMemberClient(this.connector, database, address, this.pool);
	}
}

function unreachable(error: unknown): BuckthornhitchError {
	const failure = toBuckthornhitchError(error);
	return failure.codeName === 'memberUnreachable' ? failure : new BuckthornhitchError('memberUnreachable', failure.detail, {cause: error});
}

function quote(text: string): string {
	return `'${text.replaceAll('\'', '\'\'')}'`;
}
