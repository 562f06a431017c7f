import {type Buffer} from 'node:buffer';
import {type Address} from '../links/address.js';

/** Receives one datagram and the address of its sender. */
export type DatagramListener = (bytes: Buffer, sender: Address) => void;

/** Sends and receives datagrams, which may be lost, repeated or reordered. */
export abstract class DatagramTransport {
	/** Opens the address and calls the listener for each datagram. Rejects when the address is in use. */
	abstract open(listener: DatagramListener): Promise<void>;

	/** Sends one datagram; errors are treated as loss. */
	abstract send(address: Address, bytes: Buffer): void;

	/** Closes the address. */
	abstract close(): void;
}
