import {type BackendServer} from '../backend-directory/types.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type Logger} from '../observability/logger.js';
import {type ReplicationStatus} from '../statement/replication-status.js';
import {type CandidateSurvey} from './candidate-survey.js';
import {type MemberCommands} from './member-commands.js';
import {type PromotionRequests} from './promotion-requests.js';

/** A service whose primary is confirmed. */
export type ServiceState = {
	readonly service: string;
	readonly primary: BackendServer;
	/** Members other than the primary. */
	readonly replicas: readonly BackendServer[];
	/** Replicas that answer. */
	readonly reachableReplicas: readonly BackendServer[];
	readonly synchronousReplicas: number;
};

/** Dependencies of the repair. */
export type ReplicaRepairOptions = {
	readonly logger: Logger;
	readonly commands: MemberCommands;
	readonly requests: PromotionRequests;
	readonly survey: CandidateSurvey;
};

/** What a repair has found or done. */
export type RepairResult =
	/** All replicas that answered receive log entries. */
	| {readonly kind: 'intact'; readonly verified: readonly string[]}
	/** An earlier request to promote the member may still be carried out and has to be sent again. */
	| {readonly kind: 'promote'; readonly member: string}
	| {readonly kind: 'resumed'}
	/** Nothing could be done yet. */
	| {readonly kind: 'pending'};

/**
Lets the replicas of a service with a primary receive log entries again after a failover that did not take place, whichever process began it. Works on what the replicas report, so that it needs no knowledge of that attempt.

A request for a promotion that was sent meanwhile may still be carried out. Replicas receive only once that is harmless: until then, only the member that the request named does, which then holds every acknowledged commit.
*/
export class ReplicaRepair {
	constructor(private readonly options: ReplicaRepairOptions) {}

	/** Compares the reported states of the replicas with the wanted one, and repairs what differs. */
	async repair(state: ServiceState): Promise<RepairResult> {
		const {logger, commands, requests} = this.options;
		const {service, primary, reachableReplicas} = state;
		const statuses = await commands.send(reachableReplicas, {kind: 'status'});
		if ([...statuses.values()].some(({role}) => role === 'primary')) {
			logger.info(`${service}: a replica reports that it is the primary, and ${primary.id} has been confirmed; waiting for the next confirmation`);
			return {kind: 'pending'};
		}

		const paused = reachableReplicas.filter(({id}) => isMarkedAsPaused(statuses.get(id)));
		if (paused.length === 0) {
			return {kind: 'intact', verified: [...statuses.keys()]};
		}

		const ids = paused.map(({id}) => id).join(', ');
		const named = this.#namedReplica(state);
		logger.warn(`${service}: the primary ${primary.id} answers, and the replicas ${ids} are paused`, {isSettled: requests.isSettled(service, primary.id), namedReplica: named});
		if (named !== undefined && await this.#holdsAllCommits(named, state, statuses)) {
			await commands.send(paused.filter(({id}) => id === named), {kind: 'resume'});
			return {kind: 'promote', member: named};
		}

		if (!requests.isSettled(service, primary.id) && !await this.#settle(state)) {
			return {kind: 'pending'};
		}

		await commands.send(paused, {kind: 'resume'});
		logger.info(`${service}: the replicas ${ids} receive again; no earlier promotion can be carried out`);
		return {kind: 'resumed'};
	}

	/** Returns the replica that the last request named, which may still be promoted. */
	#namedReplica({service, primary, replicas}: ServiceState): string | undefined {
		const member = this.options.requests.lastNamed(service);
		return member !== primary.id && replicas.some(({id}) => id === member) ? member : undefined;
	}

	/** Resolves with whether the member holds every acknowledged commit and will hold all further ones, which needs synchronous replicas. */
	async #holdsAllCommits(member: string, state: ServiceState, statuses: ReadonlyMap<string, ReplicationStatus>): Promise<boolean> {
		const {service, primary, replicas, synchronousReplicas} = state;
		if (synchronousReplicas === 0) {
			return false;
		}

		return isOnlyReceiver(member, replicas, statuses) || await this.options.survey.pauseAndChoose({
			service, primary, replicas, statuses, synchronousReplicas,
		}) === member;
	}

	/** Requests the promotion of the present primary, which changes nothing and invalidates all earlier requests. */
	async #settle({service, primary}: ServiceState): Promise<boolean> {
		return await this.options.requests.send(service, primary.id) === 'designated';
	}
}

/** Returns whether all other replicas are paused and none of their logs is ahead of that of the member. */
function isOnlyReceiver(member: string, replicas: readonly BackendServer[], statuses: ReadonlyMap<string, ReplicationStatus>): boolean {
	const received = statuses.get(member)?.received;
	return received !== undefined && replicas.every(({id}) => {
		const status = statuses.get(id);
		return id === member || (isPaused(status) && compareLogPositions(received, status.received) >= 0);
	});
}

function isPaused(status: ReplicationStatus | undefined): status is ReplicationStatus {
	return status?.role === 'replica' && status.minimumAcceptedTerm > status.term;
}

/** Returns whether the replica was paused and has not been told to receive again. It may receive all the same, if a member was promoted in the term of the pause. */
function isMarkedAsPaused(status: ReplicationStatus | undefined): boolean {
	return status?.role === 'replica' && status.minimumAcceptedTerm > 0;
}
