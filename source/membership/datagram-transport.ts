import {type Buffer} from 'node:buffer';
import {type Address} from '../links/address.js';

/** Callback for a received datagram and the address of its sender. */
export type DatagramListener = (bytes: Buffer, sender: Address) => void;

/** Sends and receives datagrams, which may be lost, duplicated or reordered. */
export abstract class DatagramTransport {
	/** Binds the address and calls the listener for each received datagram. Rejects when the address is in use. */
	abstract open(listener: DatagramListener): Promise<void>;

	/** Sends one datagram; a send error counts as a lost datagram. */
	abstract send(address: Address, bytes: Buffer): void;

	/** Stops receiving and closes the address. */
	abstract close(): void;
}
