import {type BackendServer} from '../backend-directory/types.js';
import {type MemberStatement} from '../statement/types.js';

/** Which replicas of a service must not receive log entries. */
export type ProtectedService = {
	/** Term with which the replicas are paused. */
	readonly term: number;
	/** Id of the only replica that receives; undefined if none does. */
	readonly receiver: string | undefined;
};

/**
The services whose replicas this leader keeps paused while a member other than the primary may still be promoted.

A replica forgets a PAUSE when it restarts, and a member that takes over its address never got it. The statement for such a member is therefore the first one on each new connection to it.
*/
export class ReplicaProtection {
	readonly #services = new Map<string, ProtectedService>();

	/** Keeps the replicas of a service paused, except for the receiver. */
	begin(service: string, protectedService: ProtectedService): void {
		this.#services.set(service, protectedService);
	}

	/** Lets only the member receive if the replicas of the service are paused: `resume` sends it RESUME. Whatever it lacks it then gets from the primary, if that one is up but not reached from here. */
	async receiveOnly(service: string, member: string, resume: () => Promise<unknown>): Promise<void> {
		const protectedService = this.#services.get(service);
		if (protectedService && protectedService.receiver !== member) {
			this.#services.set(service, {...protectedService, receiver: member});
			await resume();
		}
	}

	/** Returns whether the member is the only one of its service that receives, and may be promoted at any moment. */
	isReceiver({id, service}: BackendServer): boolean {
		return this.#services.get(service)?.receiver === id;
	}

	/** Lets the replicas of a service receive; the caller sends them RESUME. */
	end(service: string): void {
		this.#services.delete(service);
	}

	/** Ends the protection of all services; the next leader takes over. */
	clear(): void {
		this.#services.clear();
	}

	/** Returns the statement to send first on a new connection to the member, if there is one. */
	openingStatement({id, service, role}: BackendServer): MemberStatement | undefined {
		const protectedService = this.#services.get(service);
		return protectedService && role !== 'primary' && id !== protectedService.receiver ? {kind: 'pause', term: protectedService.term} : undefined;
	}
}
