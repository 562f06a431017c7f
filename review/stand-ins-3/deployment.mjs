/* eslint-disable no-await-in-loop -- ports and control instances are tried one after the other */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Options of the runtime by role, as in the deploy file. */
const runtimeOptions = {
	entry: ['--max-old-space-size=128', '--max-semi-space-size=2'],
	registry: ['--max-old-space-size=192', '--max-semi-space-size=2'],
};

const memberHostNumber = 2;
const firstHostNumber = 10;
const portNames = ['link', 'metrics', 'control', 'caller', 'readiness', 'promotion', 'member'];

/** Additional ports after the last named one, for further members. */
const spareMemberPorts = 3;

async function isFree(port, host) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Core and entry processes of the deploy file, each on a loopback address of its own. */
export class Deployment {
	ports = {};
	processes = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));
	#network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
	#isStopping = false;

	/** The counts are those of the core and entry machines. */
	constructor(record, coreCount, entryCount) {
		this.record = record;
		this.roles = [...Array.from({length: coreCount}, () => 'registry'), ...Array.from({length: entryCount}, () => 'entry')];
		this.coreCount = coreCount;
	}

	get memberHost() {
		return `${this.#network}.${memberHostNumber}`;
	}

	get coreHosts() {
		return this.roles.flatMap((role, index) => role === 'registry' ? [this.#hostOf(index)] : []);
	}

	get entryHosts() {
		return this.roles.flatMap((role, index) => role === 'entry' ? [this.#hostOf(index)] : []);
	}

	async start() {
		await this.#findPorts();
		for (const [index, role] of this.roles.entries()) {
			this.#start(index, role, true);
		}
	}

	async kill(index) {
		const child = this.processes[index];
		const ended = once(child, 'exit');
		child.kill('SIGKILL');
		await ended;
	}

	/** Kills a process and starts it again. */
	async restart(index) {
		await this.kill(index);
		this.#start(index, this.roles[index], false);
	}

	async stop() {
		this.#isStopping = true;
		for (const child of this.processes) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}

		rmSync(this.#folder, {recursive: true});
	}

	/** Sends a request to a core machine; resolves with status 0 if it is not answered. */
	async call(host, method, target, body) {
		return new Promise(resolve => {
			const fail = () => {
				resolve({status: 0, text: ''});
			};

			const outgoing = request({
				host, port: this.ports.control, method, path: target, agent: false, timeout: 1000, headers: {'content-type': 'application/json'},
			}, response => {
				const chunks = [];
				response.on('data', chunk => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					resolve({status: response.statusCode, text: String(Buffer.concat(chunks))});
				});
				response.on('error', fail);
			});
			outgoing.on('timeout', () => {
				outgoing.destroy();
			});
			outgoing.on('error', fail);
			outgoing.end(body);
		});
	}

	/** Sends a configuration, as the operator does, until it is acknowledged; resolves with whether it was. */
	async put(configuration, duration) {
		const body = JSON.stringify(configuration);
		const end = performance.now() + duration;
		while (performance.now() < end) {
			for (const host of this.coreHosts) {
				const {status, text} = await this.call(host, 'POST', '/api/Config.Put', body);
				if (status === 200) {
					this.record.note(`version ${configuration.Version} sent to ${host}: acknowledged`);
					return true;
				}

				if (status >= 400 && status < 500) {
					this.record.note(`version ${configuration.Version} sent to ${host}: refused with ${status} ${text}`);
					return false;
				}
			}

			await sleep(200);
		}

		this.record.note(`version ${configuration.Version}: not acknowledged within ${duration} ms`);
		return false;
	}

	#hostOf(index) {
		return `${this.#network}.${firstHostNumber + index}`;
	}

	async #findPorts() {
		const hosts = [this.memberHost, ...this.roles.map((_, index) => this.#hostOf(index))];
		for (;;) {
			const first = 20_000 + Math.floor(Math.random() * 30_000);
			const numbers = Array.from({length: portNames.length + spareMemberPorts}, (_, offset) => first + offset);
			const checks = await Promise.all(hosts.flatMap(host => numbers.map(async port => isFree(port, host))));
			if (checks.every(Boolean)) {
				this.ports = Object.fromEntries(portNames.map((name, index) => [name, numbers[index]]));
				return;
			}
		}
	}

	#start(index, role, isFirstStart) {
		const {ports} = this;
		const host = this.#hostOf(index);
		const name = `${role}-${index + 1}`;
		const dataFolder = path.join(this.#folder, `${name}-data`);
		mkdirSync(dataFolder, {recursive: true});
		const settings = path.join(this.#folder, `${name}.json`);
		writeFileSync(settings, JSON.stringify({
			...(role === 'registry'
				? {dataFolder, controlAddress: `${host}:${ports.control}`}
				: {callerAddress: `${host}:${ports.caller}`, readinessAddress: `${host}:${ports.readiness}`}),
			maximumClockDifferenceMilliseconds: 15_000,
			metricsAddress: `${host}:${ports.metrics}`,
			name,
			host,
			dataCentre: 'chc-a',
			region: 'canterbury',
			linkPorts: [ports.link, ports.metrics],
			seedControlAddresses: this.coreHosts.slice(0, 3).map(seed => `${seed}:${ports.control}`),
			isFirstStart,
			toleratedInstances: Math.floor((this.coreCount - 1) / 2),
			stopSeconds: 6,
			promotionAddress: `${this.memberHost}:${ports.promotion}`,
		}));
		const log = openSync(path.join(this.#folder, `${name}.log`), 'a');
		const child = spawn(process.execPath, [...runtimeOptions[role], 'target/buckthornhitch.cjs', role], {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, BUCKTHORNHITCH_NODE_FILE: settings}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		child.once('exit', (code, signal) => {
			if (!this.#isStopping) {
				this.record.note(`${name} ended: ${signal ?? `status ${code}`}`);
			}
		});
		this.processes[index] = child;
		this.record.note(`${name} started at ${host}`);
	}
}
