/* eslint no-await-in-loop: off, no-void: off -- Statements and attempts run one after the other, and some work runs beside the caller. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {sendHttp} from './http.mjs';

const baseHost = 10;
const stopTimeout = 3000;

/** Resolves after the time in milliseconds. */
export async function sleep(time) {
	return new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

/** Calls the function until it returns a true value, which is returned; undefined after the time in milliseconds. */
export async function waitUntil(time, check) {
	const deadline = performance.now() + time;
	while (performance.now() < deadline) {
		const value = await check();
		if (value) {
			return value;
		}

		await sleep(50);
	}

	return undefined;
}

async function canListen(host, port) {
	const server = createServer();
	return new Promise(resolve => {
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

/** Command of each role as the deploy file states it. */
function commandOf(role) {
	const text = readFileSync('deploy/system.toml', 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "(?<run>[^"]+)"/mv.exec(section).groups.run.split(' ');
}

/** Processes of the project on loopback addresses, each on one of its own. */
export class Deployment {
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#processes = [];
	#ports;

	constructor({controls, entries, tolerated, zones = ['atyrau', 'esil', 'aralsk'], bounds = {}}) {
		this.options = {
			controls, entries, tolerated, zones, bounds,
		};
		this.network = `127.${100 + (process.pid % 100)}.${1 + Math.floor(Math.random() * 200)}`;
	}

	get serviceHost() {
		return `${this.network}.2`;
	}

	get controlAddresses() {
		return this.#named('registry').map(({host}) => `${host}:${this.#ports.control}`);
	}

	get entryAddresses() {
		return this.#named('entry').map(({host}) => `${host}:${this.#ports.caller}`);
	}

	/** Finds free ports and starts all processes. */
	async start(promotionAddress) {
		const {controls, entries, zones} = this.options;
		const roles = [...Array.from({length: controls}, () => 'registry'), ...Array.from({length: entries}, () => 'entry')];
		this.#processes = roles.map((role, index) => ({
			role, name: `${role}-${index + 1}`, host: `${this.network}.${baseHost + index}`, zone: zones[index % zones.length], child: undefined, log: [],
		}));
		await this.#choosePorts();
		this.promotionAddress = promotionAddress;
		for (const item of this.#processes) {
			this.#spawn(item, true);
		}
	}

	/** Logs of all processes. */
	logs() {
		return this.#processes.map(({name}) => readFileSync(path.join(this.folder, `${name}.log`), 'utf8')).join('');
	}

	/** Processes of a role. */
	ofRole(role) {
		return this.#named(role);
	}

	/** Sends a signal to a process that this deployment started. */
	signal({child}, name) {
		child.kill(name);
	}

	/** Kills a process and starts it again after the time in milliseconds, with an empty disk if it has lost that. */
	async restart(item, downTime, hasLostDisk = false) {
		const ended = once(item.child, 'exit');
		item.child.kill('SIGKILL');
		await ended;
		if (hasLostDisk) {
			rmSync(path.join(this.folder, `${item.name}-data`), {recursive: true});
		}

		await sleep(downTime);
		this.#spawn(item, false);
	}

	/** Ends all processes and removes their files. */
	async stop() {
		await Promise.all(this.#processes.map(async ({child}) => {
			if (child && child.exitCode === null && child.signalCode === null) {
				const ended = once(child, 'exit');
				child.kill('SIGKILL');
				await Promise.race([ended, sleep(stopTimeout)]);
			}
		}));
		rmSync(this.folder, {recursive: true, force: true});
	}

	/** Sends a configuration to the control instances in turn until one acknowledges it; returns whether one did. */
	async putConfiguration(configuration, time) {
		let attempt = 0;
		return await waitUntil(time, async () => {
			const address = this.controlAddresses[attempt++ % this.options.controls];
			const {status} = await sendHttp(address, 'POST', '/api/Config.Put', JSON.stringify(configuration));
			return status === 200;
		}) ?? false;
	}

	#named(role) {
		return this.#processes.filter(item => item.role === role);
	}

	async #choosePorts() {
		for (let attempt = 0; attempt < 50; attempt++) {
			const first = 12_000 + Math.floor(Math.random() * 15_000);
			const free = await Promise.all(this.#processes.flatMap(({host}) => [0, 1, 2, 3, 4].map(async offset => canListen(host, first + offset))));
			if (free.every(Boolean)) {
				this.#ports = {
					link: first, metrics: first + 1, control: first + 2, caller: first + 3, readiness: first + 4,
				};
				return;
			}
		}

		throw new Error('no free ports');
	}

	#spawn(item, isFirstStart) {
		const settingsPath = path.join(this.folder, `${item.name}.json`);
		writeFileSync(settingsPath, JSON.stringify(this.#settings(item, isFirstStart)));
		const log = openSync(path.join(this.folder, `${item.name}.log`), 'a');
		const [, ...commandArguments] = commandOf(item.role);
		const {PATH, HOME, LANG} = process.env;
		item.child = spawn(process.execPath, commandArguments, {
			env: {
				PATH, HOME, LANG, BUCKTHORNHITCH_NODE_FILE: settingsPath,
			},
			stdio: ['ignore', log, log],
		});
		closeSync(log);
	}

	#settings({name, role, host, zone}, isFirstStart) {
		const {tolerated} = this.options;
		const dataFolder = path.join(this.folder, `${name}-data`);
		mkdirSync(dataFolder, {recursive: true});
		return {
			name,
			host,
			dataCentre: zone,
			region: zone,
			linkPorts: [this.#ports.link, this.#ports.metrics],
			seedControlAddresses: this.controlAddresses.slice(0, 3),
			isFirstStart,
			toleratedInstances: tolerated,
			stopSeconds: 6,
			promotionAddress: this.promotionAddress,
			metricsAddress: `${host}:${this.#ports.metrics}`,
			...(role === 'registry' && {dataFolder, controlAddress: `${host}:${this.#ports.control}`}),
			...(role === 'entry' && {callerAddress: `${host}:${this.#ports.caller}`, readinessAddress: `${host}:${this.#ports.readiness}`}),
		};
	}
}
