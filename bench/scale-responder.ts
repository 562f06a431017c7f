import process from 'node:process';
import {
	decodeDatagram, encodeDatagram, encodeGossipRecord, type Datagram,
} from '../source/membership/datagram-codec.js';
import {UdpTransport} from '../source/membership/udp-transport.js';
import {createSyntheticRecord} from './scale-records.js';

/** Settings of the responder, which answers the pings to all synthetic records on one address. */
export type ResponderSettings = {
	readonly address: string;
	/** Gossip address and number of records of each process under test. */
	readonly tested: ReadonlyArray<{readonly address: string; readonly count: number}>;
};

// In a deployment of the size the proxy is designed for, a process learns of about 0.1 record changes per second;
// the benchmark makes one per second. Each is sent as often as a process would receive it from its peers.
const changePeriodMilliseconds = 1000;
const copiesPerChange = 16;

async function startResponder(settings: ResponderSettings): Promise<void> {
	const transport = new UdpTransport(settings.address);
	const send = (to: string, datagram: Omit<Datagram, 'introduce' | 'targetName' | 'targetAddress' | 'revision'>): void => {
		transport.send(to, encodeDatagram({
			...datagram, introduce: false, targetName: '', targetAddress: '', revision: 1,
		}));
	};

	await transport.open((bytes, sender) => {
		const ping = decodeDatagram(bytes);
		if (ping?.kind === 'ping') {
			send(sender, {
				kind: 'ack', from: ping.to, to: ping.from, sequence: ping.sequence, digest: ping.digest, updates: [],
			});
		}
	});
	let incarnation = 1;
	setInterval(() => {
		incarnation++;
		for (const {address, count} of settings.tested) {
			const record = createSyntheticRecord(incarnation % count, settings.address, incarnation);
			for (let copy = 0; copy < copiesPerChange; copy++) {
				send(address, {
					kind: 'notice', from: 'entry-0', to: '', sequence: 0, digest: 0, updates: [encodeGossipRecord(record)],
				});
			}
		}
	}, changePeriodMilliseconds);
	process.send?.({kind: 'ready'});
}

process.on('message', (settings: ResponderSettings) => {
	void startResponder(settings);
});
process.on('disconnect', () => {
	process.exit(0);
});
