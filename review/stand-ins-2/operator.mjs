/* eslint no-await-in-loop: off -- the steps follow one another */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {ports} from './deployment.mjs';

const callTimeout = 1000;

/** Sends a request; resolves with status and body, or with status 0 if there is no answer within a second. */
export async function call(host, method, path, body) {
	return new Promise(resolve => {
		const outgoing = request({
			host, port: ports.control, method, path, agent: false, timeout: callTimeout, headers: {'content-type': 'application/json'},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				resolve({status: response.statusCode, body: Buffer.concat(chunks).toString('utf8')});
			});
			response.on('error', () => {
				resolve({status: 0, body: ''});
			});
		});
		const give = setTimeout(() => {
			outgoing.destroy();
			resolve({status: 0, body: ''});
		}, callTimeout);
		outgoing.on('error', () => {
			resolve({status: 0, body: ''});
		});
		outgoing.on('close', () => {
			clearTimeout(give);
		});
		outgoing.end(body);
	});
}

/** The operator: sends a configuration until it is acknowledged, to one control node after the other, and reads it back. */
export class Operator {
	/** Newest acknowledged version. */
	acknowledged = 0;

	/** The hosts function returns the control nodes that run. */
	constructor(record, hosts) {
		this.record = record;
		this.hosts = hosts;
	}

	/** Sends a configuration until it is acknowledged or refused, for at most the given seconds; returns whether it was acknowledged. */
	async put(configuration, seconds) {
		const deadline = this.record.seconds + seconds;
		const body = JSON.stringify(configuration);
		for (let attempt = 0; this.record.seconds < deadline; attempt++) {
			const hosts = this.hosts();
			const host = hosts[attempt % hosts.length];
			const {status} = await call(host, 'POST', '/api/Config.Put', body);
			this.record.addQuietly(`operator: Config.Put version ${configuration.Version} to ${host}: ${status === 0 ? 'no answer' : status}`);
			if (status === 200) {
				this.acknowledged = Math.max(this.acknowledged, configuration.Version);
				this.record.add(`operator: version ${configuration.Version} is acknowledged`);
				return true;
			}

			if ([400, 409, 412, 413, 422].includes(status)) {
				return false;
			}

			await sleep(Math.min(1000, 100 * (attempt + 1)));
		}

		return false;
	}

	/** Reads the configuration once at each node; returns the versions that were answered with 200. */
	async readAll() {
		const answers = await Promise.all(this.hosts().map(async host => {
			const {status, body} = await call(host, 'GET', '/api/Config.Get');
			const version = status === 200 ? JSON.parse(body).Version : undefined;
			this.record.addQuietly(`operator: Config.Get at ${host}: ${status === 0 ? 'no answer' : status}${version === undefined ? '' : ` version ${version}`}`);
			return version;
		}));
		return answers.filter(version => version !== undefined);
	}
}
