import process from 'node:process';
import {
	decodeDatagram, encodeDatagram, encodeGossipRecord, type Datagram,
} from '../source/membership/datagram-codec.js';
import {UdpTransport} from '../source/membership/udp-transport.js';
import {syntheticEntry} from './scale-records.js';

/** What the responder is started with: one address that answers for all records. */
export type ResponderSettings = {
	readonly address: string;
	/** Gossip address and number of records of each process under test. */
	readonly tested: ReadonlyArray<{readonly address: string; readonly count: number}>;
};

// At the design scale a process meets about 0.1 changes of records a second; the benchmark has one a second,
// each heard as often as processes pass it on.
const changePeriodMilliseconds = 1000;
const copiesOfChange = 16;

async function run(settings: ResponderSettings): Promise<void> {
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
			const entry = syntheticEntry(incarnation % count, settings.address, incarnation);
			for (let copy = 0; copy < copiesOfChange; copy++) {
				send(address, {
					kind: 'notice', from: 'entry-0', to: '', sequence: 0, digest: 0, updates: [encodeGossipRecord(entry)],
				});
			}
		}
	}, changePeriodMilliseconds);
	process.send?.({kind: 'ready'});
}

process.on('message', (settings: ResponderSettings) => {
	void run(settings);
});
process.on('disconnect', () => {
	process.exit(0);
});
