import {Buffer} from 'node:buffer';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type FakeGroup, type FakeGroupMember} from '../database-group/group-fake.js';
import {type Address} from '../links/address.js';
import {BackendConnection, BackendConnector} from '../postgres-protocol/backend-connection.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {
	buildCommandComplete, buildErrorResponse, buildBackendMessage, buildReadyForQuery,
} from '../postgres-protocol/backend-messages.js';
import {readDescribeOrClose, readParse} from '../postgres-protocol/frontend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type TransactionStatus} from './messages.js';

/** Fault of an exchange after its statements have run: the connection is lost at once, or no response arrives before the timeout. */
export type ResponseFault = 'none' | 'lost' | 'withheld';

/** Opens in-memory connections to the members of a fake group; the address of a member is its name. */
export class FakeBackendConnector extends BackendConnector {
	/** Statements that ran, each prefixed with the name of the member. */
	readonly executedStatements: string[] = [];
	/** All connections that were ever opened. */
	readonly connections: FakeBackendConnection[] = [];
	/** Whether replicas receive each write immediately. */
	isReplicating = true;
	/** Fault of all exchanges from now on. */
	responseFault: ResponseFault = 'none';
	/** Statement that all members refuse. */
	refusedStatement: string | undefined;

	constructor(readonly clock: Clock, readonly group: FakeGroup) {
		super();
	}

	override async connect(address: Address): Promise<BackendConnection> {
		const connection = new FakeBackendConnection(this, this.group.member(address));
		this.connections.push(connection);
		return connection;
	}

	/** Returns how many statements that contain the text have run. */
	countExecuted(text: string): number {
		return this.executedStatements.filter(statement => statement.includes(text)).length;
	}
}

/** In-memory connection that runs simple queries on a fake group member. */
export class FakeBackendConnection extends BackendConnection {
	busySince: Milliseconds | undefined;
	transactionStatus: TransactionStatus = 'idle';
	isClosed = false;
	/** Names of the statements that are prepared on the connection. */
	readonly preparedNames = new Set<string>();
	readonly #closeListeners = new ListenerSet();
	#rejectExchange: ((error: Error) => void) | undefined;

	constructor(private readonly connector: FakeBackendConnector, readonly member: FakeGroupMember) {
		super();
	}

	override async exchange(bytes: Buffer, readyCount: number, timeout: Milliseconds): Promise<readonly Buffer[]> {
		if (this.isClosed || this.busySince !== undefined) {
			throw new BuckthornhitchError('linkNotSent', 'The connection is not usable.');
		}

		this.busySince = this.connector.clock.now();
		this.#updatePreparedNames(bytes);
		const responses = splitBackendMessages(bytes).map(({type, body}) => type === 'Q' ? this.#runQuery(body.toString('utf8', 0, body.length - 1)) : buildReadyForQuery(this.transactionStatus));
		await this.#waitForResponse(timeout);
		this.busySince = undefined;
		return responses.slice(0, readyCount);
	}

	override close(): void {
		if (this.isClosed) {
			return;
		}

		this.isClosed = true;
		this.#rejectExchange?.(new BuckthornhitchError('memberUnreachable', 'The connection was closed.'));
		this.#closeListeners.notify();
	}

	override onClose(listener: () => void): () => void {
		return this.#closeListeners.add(listener);
	}

	#updatePreparedNames(bytes: Buffer): void {
		for (const {type, raw} of splitBackendMessages(bytes)) {
			if (type === 'P') {
				this.preparedNames.add(readParse({type, bytes: raw}).statementName);
			} else if (type === 'C') {
				this.preparedNames.delete(readDescribeOrClose({type, bytes: raw}).name);
			}
		}
	}

	async #waitForResponse(timeout: Milliseconds): Promise<void> {
		const fault = this.member.isUnreachable ? 'withheld' : this.connector.responseFault;
		if (fault === 'none') {
			await Promise.resolve();
			return;
		}

		const connectionLost = new Promise<void>((_resolve, reject) => {
			this.#rejectExchange = reject;
		});
		this.connector.clock.schedule(fault === 'lost' ? 1 : timeout, () => {
			this.close();
		});
		await connectionLost;
	}

	#runQuery(text: string): Buffer {
		if (text.includes('group_status')) {
			return Buffer.concat([buildStatusRow(this.member), buildReadyForQuery(this.transactionStatus)]);
		}

		this.connector.executedStatements.push(`${this.member.name} ${text}`);
		if (text === this.connector.refusedStatement) {
			return Buffer.concat([buildErrorResponse({severity: 'ERROR', sqlState: '42601', message: 'refused'}), buildReadyForQuery(this.transactionStatus)]);
		}

		switch (text) {
			case 'BEGIN': {
				this.transactionStatus = 'open';
				break;
			}

			case 'COMMIT': {
				this.transactionStatus = 'idle';
				break;
			}

			case 'DEALLOCATE ALL': {
				this.preparedNames.clear();
				break;
			}

			default: {
				if (text.startsWith('INSERT')) {
					return this.#runInsert(text);
				}
			}
		}

		return Buffer.concat([buildCommandComplete(text), buildReadyForQuery(this.transactionStatus)]);
	}

	#runInsert(text: string): Buffer {
		const {member, connector} = this;
		if (!member.status().acceptingWrites) {
			return Buffer.concat([buildErrorResponse({severity: 'ERROR', sqlState: '25006', message: 'read only'}), buildReadyForQuery('idle')]);
		}

		member.position++;
		for (const other of connector.group.members.values()) {
			if (connector.isReplicating && other.primaryMember === member.name) {
				other.position = member.position;
			}
		}

		return Buffer.concat([buildCommandComplete(text), buildReadyForQuery(this.transactionStatus)]);
	}
}

function buildStatusRow(member: FakeGroupMember): Buffer {
	const fields = Object.entries(member.status()).map(([name, value]) => [name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`), String(value)] as const);
	const fieldCount = Buffer.from([0, fields.length]);
	const columns = fields.map(([name]) => Buffer.concat([Buffer.from(`${name}\0`), Buffer.alloc(18)]));
	const values = fields.map(([, value]) => {
		const length = Buffer.alloc(4);
		length.writeInt32BE(Buffer.byteLength(value));
		return Buffer.concat([length, Buffer.from(value)]);
	});
	return Buffer.concat([buildBackendMessage('T', Buffer.concat([fieldCount, ...columns])), buildBackendMessage('D', Buffer.concat([fieldCount, ...values]))]);
}
