/** Whether a request that ended with a result code was executed. */
export type Execution = 'ran' | 'notRun' | 'unknown' | 'notApplicable';

/** Description of a result code. */
export type ResultCodeEntry = {
	readonly code: number;
	readonly execution: Execution;
	readonly sqlState: string;
	readonly text: string;
	/** What a caller or an operator should do. */
	readonly action: string;
};

/** All result codes by name. */
export const resultCodes = {
	done: {
		code: 0, execution: 'ran', sqlState: '00000', text: 'The request was carried out.', action: 'Nothing.',
	},
	malformedMessage: {
		code: 1001, execution: 'notRun', sqlState: '08P01', text: 'A message is malformed.', action: 'Check the caller\'s driver.',
	},
	messageTooLarge: {
		code: 1002, execution: 'notRun', sqlState: '54000', text: 'A message is longer than allowed.', action: 'Send smaller statements.',
	},
	unsupportedFeature: {
		code: 1003, execution: 'notRun', sqlState: '0A000', text: 'The request uses a feature that the proxy does not support.', action: 'Rewrite the request; the message names the feature.',
	},
	invalidSetting: {
		code: 1004, execution: 'notRun', sqlState: '22023', text: 'A setting has a value that is not allowed.', action: 'Correct the setting; the message states what is allowed.',
	},
	unknownDatabase: {
		code: 1005, execution: 'notRun', sqlState: '3D000', text: 'The database is not in the accepted configuration.', action: 'Check the name; apply a configuration that contains it.',
	},
	tokenForOtherDatabase: {
		code: 1006, execution: 'notRun', sqlState: '22023', text: 'The session token belongs to another database.', action: 'Use the token only with the database that issued it.',
	},
	queueFull: {
		code: 2001, execution: 'notRun', sqlState: '53300', text: 'Not run: too many requests are waiting.', action: 'Retry later; see the page on overload.',
	},
	deadlinePassed: {
		code: 2002, execution: 'notRun', sqlState: '57014', text: 'Not run: the deadline passed before the request could be sent.', action: 'Retry; check the group with status.',
	},
	noPrimary: {
		code: 2003, execution: 'notRun', sqlState: '57P03', text: 'Not run: the database group has no primary that a majority accepts.', action: 'Check which members live with status.',
	},
	noFreshMember: {
		code: 2004, execution: 'notRun', sqlState: '57P03', text: 'Not run: no member holds data as fresh as the request asks.', action: 'Check replication; state a larger age where permitted.',
	},
	notOwner: {
		code: 2005, execution: 'notRun', sqlState: '57P03', text: 'Not run: this pool does not hold the lease of the database.', action: 'Nothing; the entry follows to the owner.',
	},
	noPool: {
		code: 2006, execution: 'notRun', sqlState: '57P03', text: 'Not run: no pool for the database can be reached.', action: 'Check the pools with status.',
	},
	draining: {
		code: 2007, execution: 'notRun', sqlState: '57P01', text: 'Not run: the process is shutting down.', action: 'Reconnect.',
	},
	retryBudgetSpent: {
		code: 2008, execution: 'notRun', sqlState: '53300', text: 'Not run: the retry budget is spent.', action: 'Retry later.',
	},
	requestAbandoned: {
		code: 2009, execution: 'notRun', sqlState: '40000', text: 'Not run: the request id was recorded as abandoned.', action: 'Send the request again under a new id.',
	},
	outcomeUnknown: {
		code: 3001, execution: 'unknown', sqlState: '08007', text: 'The outcome is unknown: the request was sent, its answer was lost.', action: 'Read the data, or retry under the same request id.',
	},
	transactionLost: {
		code: 3002, execution: 'notRun', sqlState: '40001', text: 'The transaction was rolled back because its connection was lost.', action: 'Run the transaction again.',
	},
	requestIdReused: {
		code: 3003, execution: 'notRun', sqlState: '22023', text: 'Not run: the request id was used for another request.', action: 'Use a new id for each request.',
	},
	requestIdExpired: {
		code: 3004, execution: 'unknown', sqlState: '08007', text: 'The outcome is unknown: the request id is older than the retention time.', action: 'Find out the outcome by a read.',
	},
	configurationInvalid: {
		code: 4001, execution: 'notRun', sqlState: '22023', text: 'The configuration is not valid.', action: 'Correct the file, line and key that the message names.',
	},
	revisionConflict: {
		code: 4002, execution: 'notRun', sqlState: '40001', text: 'The expected revision is not the current one.', action: 'Read the current revision, merge, and apply again under a new change id.',
	},
	changeIdReused: {
		code: 4003, execution: 'notRun', sqlState: '22023', text: 'The change id was used for another change.', action: 'Use a new change id.',
	},
	notLeader: {
		code: 5001, execution: 'notRun', sqlState: '57P03', text: 'This control instance is not the leader.', action: 'Nothing; the client follows to the leader.',
	},
	notConfirmed: {
		code: 5002, execution: 'unknown', sqlState: '57P03', text: 'No quorum of control instances confirmed this.', action: 'Check the control instances with status; resend with the same change id.',
	},
	storageFailed: {
		code: 5003, execution: 'unknown', sqlState: '58030', text: 'The data folder cannot be written or synced.', action: 'Free or replace the disk; the voter rejoins by itself.',
	},
	storageCorrupt: {
		code: 5004, execution: 'notApplicable', sqlState: 'XX001', text: 'The data folder holds a corrupt record.', action: 'Move the folder away and start again; the voter rejoins as a new one.',
	},
	memberSetFull: {
		code: 5005, execution: 'notRun', sqlState: '53400', text: 'The database group has all its members already.', action: 'Check the member name of the backend server.',
	},
	notBootstrapped: {
		code: 5006, execution: 'notRun', sqlState: '57P03', text: 'The control instances have no voter list yet.', action: 'Run bootstrap once.',
	},
	alreadyBootstrapped: {
		code: 5007, execution: 'notRun', sqlState: '55000', text: 'The control instances have a voter list already.', action: 'Nothing.',
	},
	serverContested: {
		code: 5008, execution: 'notRun', sqlState: '55000', text: 'The announcement contradicts a backend server that announces itself.', action: 'Look for a second server with the id or address; the log names both.',
	},
	linkNotSent: {
		code: 6001, execution: 'notRun', sqlState: '08001', text: 'Not run: no link to the peer could be opened.', action: 'Check the peer and the network.',
	},
	linkOutcomeUnknown: {
		code: 6002, execution: 'unknown', sqlState: '08006', text: 'The link was lost or the answer came too late.', action: 'Check the peer and the network.',
	},
	memberUnreachable: {
		code: 6005, execution: 'unknown', sqlState: '08006', text: 'A backend server could not be reached.', action: 'Check the backend server and the network.',
	},
	memberRefused: {
		code: 6006, execution: 'notRun', sqlState: '55000', text: 'A backend server refused a group function.', action: 'Check the terms of the group with status.',
	},
	setupRefused: {
		code: 6009, execution: 'notRun', sqlState: '55000', text: 'A session variable or prepared statement was refused.', action: 'Correct the SET or PREPARE; the message states the reason.',
	},
	unknownRequest: {
		code: 6003, execution: 'notRun', sqlState: '0A000', text: 'The peer does not know this request.', action: 'Run the same version on all instances.',
	},
	controlBehind: {
		code: 6007, execution: 'notApplicable', sqlState: '57P03', text: 'A control instance holds no newer routing than the entry.', action: 'Nothing; the entry asks another one.',
	},
	notGateway: {
		code: 6008, execution: 'notRun', sqlState: '57P03', text: 'This entry is not a gateway to the backend server.', action: 'Nothing; the other entry tries the next gateway.',
	},
	internalFault: {
		code: 6004, execution: 'unknown', sqlState: 'XX000', text: 'The process met an unexpected fault.', action: 'Report the log line.',
	},
} as const satisfies Readonly<Record<string, ResultCodeEntry>>;

/** Name of a result code, for example `noPrimary`. */
export type ResultCodeName = keyof typeof resultCodes;

const namesByCode = new Map<number, ResultCodeName>(Object.entries(resultCodes).map(([name, entry]) => [entry.code, name as ResultCodeName]));

/** Returns the name of the result code with the number, or undefined for an unknown number. */
export function resultCodeName(code: number): ResultCodeName | undefined {
	return namesByCode.get(code);
}
