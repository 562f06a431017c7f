import {type BackendServer} from '../backend-directory/types.js';
import {type Logger} from '../observability/logger.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ReplicationStatus, type ReplicationStatusParser} from '../statement/replication-status.js';
import {type MemberStatement} from '../statement/types.js';
import {type BackendServerMonitor} from './backend-server-monitor.js';

/** Dependencies of the replication commands. */
export type MemberCommandOptions = {
	readonly monitor: BackendServerMonitor;
	readonly statusParser: ReplicationStatusParser;
	readonly logger: Logger;
	/** Returns whether this instance leads the control log. */
	readonly isLeader: () => boolean;
};

/** Sends replication commands to members, which answer with their status. The commands carry no identity of their sender, so that each is sent only while this instance leads. */
export class MemberCommands {
	constructor(private readonly options: MemberCommandOptions) {}

	/** Sends a command to the members and resolves with the statuses of those that answered with one, by the id of the member. */
	async send(members: readonly BackendServer[], command: MemberStatement): Promise<ReadonlyMap<string, ReplicationStatus>> {
		const {logger} = this.options;
		const statuses = new Map<string, ReplicationStatus>();
		await Promise.all(members.map(async ({id}) => {
			try {
				const status = await this.execute(id, command);
				if (status) {
					statuses.set(id, status);
				}
			} catch (error) {
				logger.warn(`member ${id} did not answer ${command.kind} with its status: ${toBuckthornhitchError(error).message}`);
			}
		}));
		return statuses;
	}

	/** Sends a command to a member and resolves with its status, or with undefined if it answered with none. Rejects if it did not answer or this instance does not lead any more. */
	async execute(id: string, command: MemberStatement): Promise<ReplicationStatus | undefined> {
		const {monitor, statusParser, isLeader} = this.options;
		const reply = await monitor.proberOf(id)?.execute(command, isLeader);
		return reply?.outcome === 'done' ? statusParser.parse(reply.rows) : undefined;
	}
}
