import {type Milliseconds} from '../clock/clock.js';
import {type Address} from './address.js';

/** Sends requests and notices to other processes over links. A link is a connection between two processes that can carry several requests at the same time. */
export abstract class LinkClient {
	/** Allows links to the address to be silent while no request is open and the peer does not need them. A dead link is then found by the next request instead of a ping. */
	allowSilence(_address: Address): void {
		// Links that send no pings have nothing to omit.
	}

	/**
	Sends one request and resolves with the body of its response.

	Rejects with the result code sent by the peer, with linkNotSent when nothing was written, or with linkOutcomeUnknown when the link was lost or the timeout (in milliseconds) passed after sending.
	*/
	abstract request(address: Address, name: string, body: unknown, timeout: Milliseconds): Promise<unknown>;

	/** Sends a notice, which has no response; drops it when the link cannot be opened. */
	abstract notify(address: Address, name: string, body: unknown): void;
}

/** Handles one kind of request or notice; a thrown error is sent to the peer with its result code. */
export type RequestHandler = (body: unknown, peer: LinkPeer) => Promise<unknown>;

/** The remote end of an accepted link. */
export type LinkPeer = {
	/** Identifies this accepted link within the process. */
	readonly linkId: number;
};
