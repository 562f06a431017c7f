import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberConnection, MemberConnector} from '../statement/member-connection.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';

/** Connection that answers with scripted replies, in order; it rejects where the script has an error. */
export class ScriptedConnection extends MemberConnection {
	override readonly isClosed = false;
	/** Kinds of the statements that were sent. */
	readonly kinds: string[] = [];

	constructor(private readonly script: Array<StatementReply | BuckthornhitchError>) {
		super();
	}

	override async execute({kind}: MemberStatement): Promise<StatementReply> {
		this.kinds.push(kind);
		const next = this.script.shift() ?? new BuckthornhitchError('linkNotSent', 'the script has ended');
		if (next instanceof BuckthornhitchError) {
			throw next;
		}

		return next;
	}

	override close(): void {
		// The script decides what is answered.
	}

	override onClosed(): void {
		// The connection never closes.
	}
}

/** Connects to a scripted connection. */
export class ScriptedConnector extends MemberConnector {
	constructor(private readonly connection: MemberConnection) {
		super();
	}

	override async connect(): Promise<MemberConnection> {
		return this.connection;
	}
}
