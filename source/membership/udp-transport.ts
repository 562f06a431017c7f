import {type Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {isIPv6} from 'node:net';
import {parseAddress, type Address} from '../links/address.js';
import {DatagramTransport, type DatagramListener} from './datagram-transport.js';

/** Datagrams and payload bytes since the start, without UDP and IP headers. */
export type DatagramCounts = {
	readonly sentDatagrams: number;
	readonly sentBytes: number;
	readonly receivedDatagrams: number;
	readonly receivedBytes: number;
};

/** Datagram transport over UDP. */
export class UdpTransport extends DatagramTransport {
	readonly #socket: Socket;
	readonly #host: string;
	readonly #port: number;
	#isOpen = false;
	#isClosed = false;
	#pendingSends = 0;
	#sentDatagrams = 0;
	#sentBytes = 0;
	#receivedDatagrams = 0;
	#receivedBytes = 0;

	constructor(address: Address) {
		super();
		const {host, port} = parseAddress(address);
		this.#host = host;
		this.#port = port;
		const family = isIPv6(host) ? 6 : 4;
		this.#socket = createSocket({
			type: family === 6 ? 'udp6' : 'udp4',
			// Addresses are IP literals; skipping the DNS lookup sends each datagram immediately.
			lookup(address, _, callback) {
				callback(null, address, family);
			},
		});
	}

	override async open(listener: DatagramListener): Promise<void> {
		this.#socket.on('message', (bytes, sender) => {
			this.#receivedDatagrams++;
			this.#receivedBytes += bytes.length;
			listener(bytes, sender.family === 'IPv6' ? `[${sender.address}]:${sender.port}` : `${sender.address}:${sender.port}`);
		});
		return new Promise((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(this.#port, this.#host, () => {
				this.#socket.off('error', reject);
				this.#socket.on('error', () => {
					// A socket error after binding counts as a lost datagram.
				});
				this.#isOpen = true;
				resolve();
			});
		});
	}

	override send(address: Address, bytes: Buffer): void {
		if (!this.#isOpen) {
			return;
		}

		try {
			const {host, port} = parseAddress(address);
			this.#socket.send(bytes, port, host, () => {
				this.#pendingSends--;
				this.#closeWhenSent();
			});
			this.#pendingSends++;
			this.#sentDatagrams++;
			this.#sentBytes += bytes.length;
		} catch {
			// A datagram to an invalid address announced by a peer counts as lost.
		}
	}

	// Closing the socket would drop datagrams that are not sent yet, such as the announcement that this process left.
	override close(): void {
		if (this.#isOpen) {
			this.#isOpen = false;
			this.#closeWhenSent();
		}
	}

	/** The bound address; only available once open. */
	get address(): Address {
		return `${isIPv6(this.#host) ? `[${this.#host}]` : this.#host}:${this.#socket.address().port}`;
	}

	/** Returns the traffic since the start. */
	counts(): DatagramCounts {
		return {
			sentDatagrams: this.#sentDatagrams,
			sentBytes: this.#sentBytes,
			receivedDatagrams: this.#receivedDatagrams,
			receivedBytes: this.#receivedBytes,
		};
	}

	#closeWhenSent(): void {
		if (!this.#isOpen && this.#pendingSends === 0 && !this.#isClosed) {
			this.#isClosed = true;
			this.#socket.close();
		}
	}
}
