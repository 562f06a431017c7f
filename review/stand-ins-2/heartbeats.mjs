/* eslint no-await-in-loop: off -- the steps follow one another */
import {request} from 'node:http';
import {ports} from './deployment.mjs';

const heartbeatPeriod = 1200;
const answerTime = 1000;

async function post(host, path, body) {
	return new Promise(resolve => {
		const outgoing = request({
			host, port: ports.control, method: 'POST', path, agent: false, headers: {'content-type': 'application/json'},
		}, response => {
			response.resume();
			resolve(response.statusCode >= 200 && response.statusCode < 300);
		});
		const give = setTimeout(() => {
			outgoing.destroy();
			resolve(false);
		}, answerTime);
		outgoing.on('error', () => {
			resolve(false);
		});
		outgoing.on('close', () => {
			clearTimeout(give);
		});
		outgoing.end(JSON.stringify(body));
	});
}

/** Heartbeats of one member: each goes to one control node after the other until it is acknowledged. */
export class Heartbeats {
	#sequence = 0;
	#next;
	#timer;

	/** The body function returns the fields apart from the sequence; `mayBeat` says whether the member can send. */
	constructor({id, hosts, body, mayBeat}) {
		Object.assign(this, {
			id, hosts, body, mayBeat,
		});
		this.#next = Math.floor(Math.random() * 5);
	}

	start() {
		this.beat();
		this.#timer = setInterval(() => {
			this.beat();
		}, heartbeatPeriod);
	}

	stop() {
		clearInterval(this.#timer);
	}

	/** Sends a heartbeat now. Resolves with whether it was acknowledged. */
	async beat() {
		if (!this.mayBeat()) {
			return false;
		}

		const body = {...this.body(), CallSeq: ++this.#sequence};
		const hosts = this.hosts();
		for (let attempt = 0; attempt < hosts.length && this.mayBeat(); attempt++) {
			const host = hosts[this.#next % hosts.length];
			if (await post(host, `/api/Instances.Heartbeat/${this.id}`, body)) {
				return true;
			}

			this.#next++;
		}

		return false;
	}
}
