import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type Logger} from '../observability/logger.js';
import {type ReplicationStatus} from '../statement/replication-status.js';
import {type CandidateSurvey} from './candidate-survey.js';
import {type MemberCommands} from './member-commands.js';
import {type PromotionRequests} from './promotion-requests.js';
import {type ReplicaProtection} from './replica-protection.js';

/** How long the only receiver may take to receive what the primary held when the other replicas had stopped; several times the replication delay between regions. */
const receiverCatchUpTimeout: Milliseconds = 300;

/** Period of the checks for whether the receiver has caught up. */
const receiverPollPeriod: Milliseconds = 30;

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
	readonly clock: Clock;
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly commands: MemberCommands;
	readonly requests: PromotionRequests;
	readonly survey: CandidateSurvey;
	readonly protection: ReplicaProtection;
};

/** What a repair has found or done. */
export type RepairResult =
	/** No other member can be promoted, and all replicas that answered receive log entries. */
	| {readonly kind: 'intact'; readonly verified: readonly string[]}
	/** The promotion of the member has to be requested (again). For the present primary, it changes nothing and invalidates all earlier requests. */
	| {readonly kind: 'promote'; readonly member: string}
	| {readonly kind: 'resumed'}
	/** Nothing could be done yet. */
	| {readonly kind: 'pending'};

/**
Completes a replacement that left the former primary in place, whichever process began it.

While a request may still promote another member, that member must hold every acknowledged commit. With synchronous replicas, it does so while it is the only one that receives. The control log says which requests these are; whether replicas are paused says nothing, since they forget it. Replicas receive again once no other member can be promoted.
*/
export class ReplicaRepair {
	constructor(private readonly options: ReplicaRepairOptions) {}

	/** Compares the reported states of the replicas with the wanted one, and repairs what differs. */
	async repair(state: ServiceState): Promise<RepairResult> {
		const {logger, commands, requests} = this.options;
		const {service, primary, reachableReplicas, synchronousReplicas} = state;
		const statuses = await commands.send(reachableReplicas, {kind: 'status'});
		if ([...statuses.values()].some(({role}) => role === 'primary')) {
			logger.info(`${service}: a replica reports that it is the primary, and ${primary.id} has been confirmed; waiting for the next confirmation`);
			return {kind: 'pending'};
		}

		const pending = requests.pendingMembers(service, primary.id);
		if (synchronousReplicas > 0 && pending.length > 0) {
			return this.#protect(state, statuses, pending);
		}

		return this.#resume(state, statuses);
	}

	/** Lets the replicas receive that are paused. */
	async #resume({service, primary, reachableReplicas}: ServiceState, statuses: ReadonlyMap<string, ReplicationStatus>): Promise<RepairResult> {
		const {logger, commands, protection} = this.options;
		protection.end(service);
		const paused = reachableReplicas.filter(({id}) => isMarkedAsPaused(statuses.get(id)));
		if (paused.length === 0) {
			return {kind: 'intact', verified: [...statuses.keys()]};
		}

		await commands.send(paused, {kind: 'resume'});
		logger.info(`${service}: the primary ${primary.id} answers, and the replicas ${paused.map(({id}) => id).join(', ')} receive again`);
		return {kind: 'resumed'};
	}

	/** Lets only the member receive that may still be promoted, and returns the request to repeat: for that member if it holds every acknowledged commit, otherwise for the primary. */
	async #protect(state: ServiceState, statuses: ReadonlyMap<string, ReplicationStatus>, pending: ReadonlyArray<string | undefined>): Promise<RepairResult> {
		const {logger, commands, requests, survey, protection} = this.options;
		const {service, primary, replicas, reachableReplicas, synchronousReplicas} = state;
		const receiver = pending.length === 1 ? replicas.find(({id}) => id === pending[0]) : undefined;
		const term = survey.highestKnownTerm([...replicas, primary], statuses) + 1;
		protection.begin(service, {term, receiver: receiver?.id});
		const others = replicas.filter(replica => replica !== receiver);
		const receiving = others.filter(({id}) => !isPaused(statuses.get(id)));
		const answers = await commands.send(receiving, {kind: 'pause', term});
		if (receiver && reachableReplicas.includes(receiver) && isMarkedAsPaused(statuses.get(receiver.id))) {
			await commands.send([receiver], {kind: 'resume'});
		}

		const missing = this.#formerReplicas(service) + receiving.filter(({id}) => !isPaused(answers.get(id))).length;
		const isSafe = receiver !== undefined && missing < synchronousReplicas && await this.#hasCaughtUp(receiver, state);
		logger.warn(`${service}: the primary ${primary.id} answers, and ${pending.map(member => member ?? 'a member that is not known').join(', ')} may still be promoted`, {
			term, receiver: receiver?.id, repaused: receiving.map(({id}) => id), missing, isSafe,
		});
		return {kind: 'promote', member: isSafe && requests.lastAccepted(service) === receiver.id ? receiver.id : primary.id};
	}

	/** Resolves with whether the receiver has received all that the primary held after the other replicas had stopped. All that is acknowledged later needs the receiver. */
	async #hasCaughtUp(receiver: BackendServer, {primary}: ServiceState): Promise<boolean> {
		const {clock} = this.options;
		const held = await this.#statusOf(primary);
		const deadline = clock.now() + receiverCatchUpTimeout;
		while (held?.role === 'primary' && clock.now() < deadline) {
			const status = await this.#statusOf(receiver);
			if (status && compareLogPositions(status.received, held.received) >= 0) {
				return true;
			}

			await clock.sleep(receiverPollPeriod);
		}

		return false;
	}

	async #statusOf(member: BackendServer): Promise<ReplicationStatus | undefined> {
		const statuses = await this.options.commands.send([member], {kind: 'status'});
		return statuses.get(member.id);
	}

	/** Returns the number of replicas that no longer announce themselves and may receive all the same. */
	#formerReplicas(service: string): number {
		return this.options.directory.formerServersOf(service).filter(({role}) => role === 'replica').length;
	}
}

function isPaused(status: ReplicationStatus | undefined): status is ReplicationStatus {
	return status?.role === 'replica' && status.minimumAcceptedTerm > status.term;
}

/** Returns whether the replica was paused and has not been told to receive again. It may receive all the same, if a member was promoted in the term of the pause. */
function isMarkedAsPaused(status: ReplicationStatus | undefined): boolean {
	return status?.role === 'replica' && status.minimumAcceptedTerm > 0;
}
