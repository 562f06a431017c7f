import {type Clock} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {type Timeline} from '../timeline/timeline.js';
import {type DatagramTransport} from './datagram-transport.js';
import {type ProcessRecord} from './process-record.js';
import {type RequestHandlerRegistry} from './record-exchange.js';

/** Identity and addresses that a process announces. */
export type ProcessIdentity = Omit<ProcessRecord, 'incarnation' | 'state' | 'configurationRevision'>;

/** Identity, seeds and dependencies of the membership controller. */
export type MembershipOptions = {
	readonly self: ProcessIdentity;
	/** Gossip addresses of the processes to join through; the address of this process is ignored. */
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	readonly random: Random;
	readonly transport: DatagramTransport;
	readonly linkClient: LinkClient;
	readonly handlers: RequestHandlerRegistry;
	readonly logger: Logger;
	readonly timeline: Timeline;
};
