/* eslint no-await-in-loop: off -- the steps follow one another */
import {spawn} from 'node:child_process';
import {
	closeSync, existsSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {render} from './template.mjs';

/** Ports of all machines; each machine has a loopback address of its own. */
export const ports = {
	internal: [7440, 7455], control: 8782, cloud: 8783, front: 8784, ready: 8785, member: 8080,
};

const restartDelay = 500;

/** Bounds and limits of the small deployments (tengiz-reg). */
const bounds = {
	SeedLagS: 3, AddrReuseS: 2, ContactMs: 5000, AckMs: 6000, CatchUpS: 4, DrainMs: 7000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 3000, DowngradeSlackMs: 250, SkewMaxMs: 15_000, RecoveryS: 12, FencingRequired: true, ThawSlackMs: 300,
};

const regions = {atyrau: 'caspian-w', esil: 'astana', aralsk: 'aral-n'};

/** Reads the roles of the deploy file: name, command and template. */
function readRoles() {
	const roles = {};
	let role;
	for (const line of readFileSync('deploy/system.toml', 'utf8').split('\n')) {
		const header = /^\[roles\.(?<name>[\w\-]+)\]/v.exec(line);
		if (header) {
			role = {};
			roles[header.groups.name] = role;
		}

		const entry = /^(?<key>run|on|template) = "(?<value>.*)"$/v.exec(line);
		if (entry && role) {
			role[entry.groups.key] = entry.groups.value;
		}
	}

	return roles;
}

/** Returns the first part, 127.x.y, of loopback addresses on which the ports are free. */
async function freeNetwork() {
	for (let attempt = 0; attempt < 50; attempt++) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
		const checks = [ports.internal[0], ports.control, ports.front, ports.ready, ports.cloud].map(port => isFree(`${network}.10`, port));
		const results = await Promise.all(checks);
		if (results.every(Boolean)) {
			return network;
		}
	}

	throw new Error('no free loopback network');
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen({host, port, exclusive: true}, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Machines of a small deployment: runs the programs of the deploy file as separate processes and starts them again when they end, as the platform does. */
export class Deployment {
	machines = new Map();
	#roles = readRoles();
	#isStopping = false;
	#nextHost = 10;

	static async create(record) {
		return new Deployment(record, await freeNetwork());
	}

	constructor(record, network) {
		this.record = record;
		this.network = network;
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	}

	/** Address of the platform's interface for promotions. */
	get cloudHost() {
		return `${this.network}.2`;
	}

	/** Returns the machines of a class that were not removed. */
	ofClass(machineClass) {
		return [...this.machines.values()].filter(machine => machine.machineClass === machineClass && !machine.isRemoved);
	}

	/** Control addresses of the machines that serve control. */
	get controlHosts() {
		return this.ofClass('core').map(({host}) => host);
	}

	/** Adds a machine and starts its role. */
	add({machineClass, zone, isFirst}) {
		const count = [...this.machines.values()].filter(machine => machine.machineClass === machineClass && machine.zone === zone).length;
		const name = `${machineClass}-${zone}-${count + 1}`;
		const [roleName, role] = Object.entries(this.#roles).find(([, {on}]) => on === machineClass);
		const machine = {
			name, machineClass, zone, host: `${this.network}.${this.#nextHost++}`, roleName, role, isFirst, isRemoved: false, mayRun: false, child: undefined,
		};
		this.machines.set(name, machine);
		return machine;
	}

	/** Starts the process of a machine. The seeds are three control addresses. */
	start(machine) {
		machine.mayRun = true;
		const dataFolder = path.join(this.folder, `${machine.name}-data`);
		if (machine.machineClass === 'core') {
			mkdirSync(dataFolder, {recursive: true});
		}

		const settingsPath = path.join(this.folder, `${machine.name}.settings`);
		writeFileSync(settingsPath, render(readFileSync(machine.role.template, 'utf8'), this.#settingsOf(machine, dataFolder)));
		const log = openSync(path.join(this.folder, `${machine.name}.log`), 'a');
		const [program, ...words] = machine.role.run.split(' ');
		const child = spawn(program, words, {
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, BUCKTHORNHITCH_NODE_FILE: settingsPath,
			}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		machine.child = child;
		machine.ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.record.addQuietly(`process ${machine.name} ended: ${signal ?? `status ${code}`}`);
				machine.lastEnd = {code, signal};
				if (machine.mayRun && !this.#isStopping) {
					machine.onEnd?.(machine.lastEnd);
				}

				resolve();
				this.#startAgain(machine);
			});
			child.once('error', resolve);
		});
		this.record.addQuietly(`process ${machine.name} started at ${machine.host}, Bootstrap ${machine.isFirst}`);
		machine.isFirst = false;
	}

	/** Kills a process and does not start it again until `start` is called. */
	async kill(machine, signal = 'SIGKILL') {
		machine.mayRun = false;
		machine.child.kill(signal);
		await machine.ended;
	}

	/** Kills all processes at the same moment and starts them again. */
	async killAll() {
		const machines = [...this.machines.values()].filter(({mayRun}) => mayRun);
		await Promise.all(machines.map(async machine => this.kill(machine)));
		await sleep(restartDelay);
		for (const machine of machines) {
			this.start(machine);
		}
	}

	/** Removes the data folder of a machine whose process does not run. */
	wipe(machine) {
		rmSync(path.join(this.folder, `${machine.name}-data`), {recursive: true, force: true});
	}

	/** Text that a process has logged. */
	logOf(machine) {
		const file = path.join(this.folder, `${machine.name}.log`);
		return existsSync(file) ? readFileSync(file, 'utf8') : '';
	}

	/** Kills all processes and removes their files. */
	async stop() {
		this.#isStopping = true;
		await Promise.all([...this.machines.values()].map(async ({child, ended}) => {
			if (child?.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await ended;
			}
		}));
		if (process.env.KEEP_FILES === '1') {
			console.log(`files: ${this.folder}`);
		} else {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}

	async #startAgain(machine) {
		await sleep(restartDelay);
		if (!this.#isStopping && machine.mayRun && !machine.isRemoved && machine.child.exitCode !== undefined && (machine.child.exitCode !== null || machine.child.signalCode !== null)) {
			this.start(machine);
		}
	}

	#settingsOf(machine, dataFolder) {
		const {host, name, zone, machineClass, isFirst} = machine;
		const isCore = machineClass === 'core';
		return {
			NodeName: name,
			Role: machine.roleName,
			MachineClass: machineClass,
			Serves: [isCore ? 'control' : 'front'],
			Ip: host,
			Zone: zone,
			Region: regions[zone],
			InternalPorts: ports.internal,
			Seeds: this.controlHosts.slice(0, 3).map(seed => `${seed}:${ports.control}`),
			Bootstrap: isFirst,
			InTolerance: isCore,
			Discovery: 'registry',
			Entry: 'vip',
			HeartbeatMs: 1200,
			Contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql'],
			Zones: regions,
			Listen: isCore ? {Control: `${host}:${ports.control}`} : {Front: `${host}:${ports.front}`, Ready: `${host}:${ports.ready}`},
			...(isCore && {DataDir: dataFolder}),
			FaultTolerance: {Machines: 2, Zones: 0, Regions: 0},
			Bounds: bounds,
			CloudApi: {
				Address: `${this.cloudHost}:${ports.cloud}`, RatePerS: 50, Duties: ['promotion'], DutyPerS: 50,
			},
		};
	}
}
