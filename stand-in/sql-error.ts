/** Error that is sent to the client with its SQLSTATE. */
export class SqlError extends Error {
	override readonly name = 'SqlError';

	constructor(readonly sqlState: string, message: string) {
		super(message);
	}
}
