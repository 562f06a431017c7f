import {type Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {isIPv6} from 'node:net';
import {parseAddress, type Address} from '../links/address.js';
import {DatagramTransport, type DatagramListener} from './datagram-transport.js';

/** Datagrams and bytes since the start, without the headers of UDP and IP. */
export type DatagramCounts = {
	readonly sentDatagrams: number;
	readonly sentBytes: number;
	readonly receivedDatagrams: number;
	readonly receivedBytes: number;
};

/** Datagrams over UDP. */
export class UdpTransport extends DatagramTransport {
	readonly #socket: Socket;
	readonly #host: string;
	readonly #port: number;
	#open = false;
	#closed = false;
	#unsent = 0;
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
			// Addresses are IP numbers; without a look-up a datagram leaves at once.
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
					// A datagram that cannot be sent counts as lost.
				});
				this.#open = true;
				resolve();
			});
		});
	}

	override send(address: Address, bytes: Buffer): void {
		if (!this.#open) {
			return;
		}

		try {
			const {host, port} = parseAddress(address);
			this.#socket.send(bytes, port, host, () => {
				this.#unsent--;
				this.#closeWhenSent();
			});
			this.#unsent++;
			this.#sentDatagrams++;
			this.#sentBytes += bytes.length;
		} catch {
			// An address that a peer announced wrongly counts as loss.
		}
	}

	// The socket would drop datagrams that it has not handed over yet, such as the notice that this process left.
	override close(): void {
		if (this.#open) {
			this.#open = false;
			this.#closeWhenSent();
		}
	}

	/** The address in use, once open. */
	get address(): Address {
		return `${isIPv6(this.#host) ? `[${this.#host}]` : this.#host}:${this.#socket.address().port}`;
	}

	/** Returns the datagrams and bytes since the start. */
	counts(): DatagramCounts {
		return {
			sentDatagrams: this.#sentDatagrams,
			sentBytes: this.#sentBytes,
			receivedDatagrams: this.#receivedDatagrams,
			receivedBytes: this.#receivedBytes,
		};
	}

	#closeWhenSent(): void {
		if (!this.#open && this.#unsent === 0 && !this.#closed) {
			this.#closed = true;
			this.#socket.close();
		}
	}
}
