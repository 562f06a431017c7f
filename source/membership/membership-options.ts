import {type Clock} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {type Timeline} from '../timeline/timeline.js';
import {type DatagramTransport} from './datagram-transport.js';
import {type ProcessRecord} from './process-record.js';
import {type RequestRegistry} from './record-exchange.js';

/** What a process tells about itself. */
export type OwnDescription = Omit<ProcessRecord, 'incarnation' | 'state' | 'configurationRevision'>;

/** What the membership of one process needs. */
export type MembershipOptions = {
	readonly self: OwnDescription;
	/** Gossip addresses of processes to join by; this process's own is ignored. */
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	readonly random: Random;
	readonly transport: DatagramTransport;
	readonly linkClient: LinkClient;
	readonly handlers: RequestRegistry;
	readonly logger: Logger;
	readonly timeline: Timeline;
};
