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
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type TransactionStatus} from './messages.js';

/** What happens to an exchange after its statements have run. */
export type AnswerFault = 'none' | 'lost' | 'withheld';

/** Connections to the members of a group in memory; the address of a member is its name. */
export class FakeConnector extends BackendConnector {
	/** Statements that ran, with the member in front. */
	readonly executed: string[] = [];
	readonly connections: FakeConnection[] = [];
	/** Whether the replicas receive each write at once. */
	isReplicating = true;
	answerFault: AnswerFault = 'none';

	constructor(readonly clock: Clock, readonly group: FakeGroup) {
		super();
	}

	override async connect(address: Address): Promise<BackendConnection> {
		const connection = new FakeConnection(this, this.group.member(address));
		this.connections.push(connection);
		return connection;
	}

	/** Number of statements that contain the text and ran. */
	count(text: string): number {
		return this.executed.filter(statement => statement.includes(text)).length;
	}
}

/** Connection that runs simple queries on a member in memory. */
export class FakeConnection extends BackendConnection {
	busySince: Milliseconds | undefined;
	transactionStatus: TransactionStatus = 'idle';
	closed = false;
	readonly #listeners = new ListenerSet();
	#fail: ((error: Error) => void) | undefined;

	constructor(private readonly connector: FakeConnector, readonly member: FakeGroupMember) {
		super();
	}

	override async exchange(bytes: Buffer, readyCount: number, timeout: Milliseconds): Promise<readonly Buffer[]> {
		if (this.closed || this.busySince !== undefined) {
			throw new BuckthornhitchError('linkNotSent', 'The connection is not usable.');
		}

		this.busySince = this.connector.clock.now();
		const responses = splitBackendMessages(bytes).map(({type, body}) => type === 'Q' ? this.#run(body.toString('utf8', 0, body.length - 1)) : buildReadyForQuery(this.transactionStatus));
		await this.#answer(timeout);
		this.busySince = undefined;
		return responses.slice(0, readyCount);
	}

	override close(): void {
		if (this.closed) {
			return;
		}

		this.closed = true;
		this.#fail?.(new BuckthornhitchError('memberUnreachable', 'The connection was closed.'));
		this.#listeners.notify();
	}

	override onClose(listener: () => void): () => void {
		return this.#listeners.add(listener);
	}

	async #answer(timeout: Milliseconds): Promise<void> {
		const fault = this.member.isUnreachable ? 'withheld' : this.connector.answerFault;
		if (fault === 'none') {
			await Promise.resolve();
			return;
		}

		const lost = new Promise<void>((_resolve, reject) => {
			this.#fail = reject;
		});
		this.connector.clock.schedule(fault === 'lost' ? 1 : timeout, () => {
			this.close();
		});
		await lost;
	}

	#run(text: string): Buffer {
		if (text.includes('group_status')) {
			return Buffer.concat([statusRows(this.member), buildReadyForQuery(this.transactionStatus)]);
		}

		this.connector.executed.push(`${this.member.name} ${text}`);
		if (text === 'BEGIN') {
			this.transactionStatus = 'open';
		} else if (text === 'COMMIT') {
			this.transactionStatus = 'idle';
		} else if (text.startsWith('INSERT')) {
			return this.#write(text);
		}

		return Buffer.concat([buildCommandComplete(text), buildReadyForQuery(this.transactionStatus)]);
	}

	#write(text: string): Buffer {
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

function statusRows(member: FakeGroupMember): Buffer {
	const status = Object.entries(member.status()).map(([name, value]) => [name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`), String(value)] as const);
	const count = Buffer.from([0, status.length]);
	const columns = status.map(([name]) => Buffer.concat([Buffer.from(`${name}\0`), Buffer.alloc(18)]));
	const values = status.map(([, value]) => {
		const length = Buffer.alloc(4);
		length.writeInt32BE(Buffer.byteLength(value));
		return Buffer.concat([length, Buffer.from(value)]);
	});
	return Buffer.concat([buildBackendMessage('T', Buffer.concat([count, ...columns])), buildBackendMessage('D', Buffer.concat([count, ...values]))]);
}
