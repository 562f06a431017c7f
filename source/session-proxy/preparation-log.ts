import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {type PreparedStatementDefinition} from '../statement/types.js';

/** Lines about prepared statements beyond this rate are left out, so that a caller with ever new definitions does not displace other lines. */
const maximumLinesPerSecond = 10;

const rateWindow: Milliseconds = 1000;

/** Number of characters of a name or a definition that a line contains. */
const excerptLength = 64;

/** Number of characters of a digest that a line contains; enough to compare the definitions of one deployment. */
const digestLength = 12;

/** A prepared statement on a connection to a member. */
export type Preparation = {
	/** Id of the member. */
	readonly member: string;
	/** Number of the connection among those of this instance to the member. */
	readonly connection: number;
	/** Name of the gateway through which the connection leads; absent on a direct connection. */
	readonly gateway?: string;
	/** Name of the statement on the connection. */
	readonly name: string;
	readonly definition: PreparedStatementDefinition;
};

/** Records under which names definitions are prepared on the connections to the members of a service. */
export class PreparationLog {
	#preparedCount = 0;
	#windowStart: Milliseconds = Number.NEGATIVE_INFINITY;
	#writtenInWindow = 0;

	constructor(private readonly clock: Clock, private readonly logger: Logger) {}

	/** Number of statements that were prepared since the start of the process. */
	get preparedCount(): number {
		return this.#preparedCount;
	}

	/** Counts a prepared statement and writes a line, unless too many were written within the last second. */
	record({member, connection, gateway, name, definition: {access, shape}}: Preparation): void {
		this.#preparedCount++;
		if (!this.#mayWrite()) {
			return;
		}

		this.logger.info(`a statement was prepared on connection ${connection} to ${member}`, {
			member,
			connection,
			...(gateway !== undefined && {gateway}),
			statementName: name.slice(0, excerptLength),
			access,
			definition: shape.slice(0, excerptLength),
			definitionLength: shape.length,
			definitionDigest: createHash('sha256').update(shape, 'latin1').digest('hex').slice(0, digestLength),
		});
	}

	#mayWrite(): boolean {
		const now = this.clock.now();
		if (now - this.#windowStart >= rateWindow) {
			this.#windowStart = now;
			this.#writtenInWindow = 0;
		}

		return this.#writtenInWindow++ < maximumLinesPerSecond;
	}
}
