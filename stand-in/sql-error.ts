/** Error that a client receives with its SQLSTATE. */
export class SqlError extends Error {
	override readonly name = 'SqlError';

	constructor(readonly sqlState: string, message: string) {
		super(message);
	}
}
