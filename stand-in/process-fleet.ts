import {spawn, type ChildProcess} from 'node:child_process';
import {
	cpSync, createWriteStream, mkdirSync, readFileSync,
} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type Address} from '../source/links/address.js';
import {findFreeAddresses} from './free-addresses.js';

/** Sizes and settings of a fleet of separate processes. */
export type ProcessFleetOptions = {
	/** Folder with base.yaml and overlays to apply, or undefined to apply no configuration. */
	readonly configurationFolder: string | undefined;
	/** Folder for the data and logs of all processes. */
	readonly folder: string;
	readonly dataCentres: ReadonlyArray<{readonly name: string; readonly region: string}>;
	readonly controls: number;
	readonly pools: number;
	readonly entries: number;
	/** Databases for each of which a group of three stand-in members is started. */
	readonly databases: readonly string[];
	readonly memberFlags: readonly string[];
	/** Returns additional flags for one member, for example an announced address. */
	readonly extraMemberFlags?: (name: string, address: Address) => Promise<readonly string[]>;
};

/** A started process with the module and flags that a restart uses again. */
export type FleetProcess = {
	readonly name: string;
	readonly module: string;
	readonly flags: readonly string[];
	child: ChildProcess;
};

const distributionFolder = fileURLToPath(new URL('..', import.meta.url));
const modulePaths = {
	control: 'source/binaries/buckthornhitch-control.js',
	pool: 'source/binaries/buckthornhitch-pool.js',
	entry: 'source/binaries/buckthornhitch-entry.js',
	member: 'stand-in/stand-in-member.js',
	operator: 'source/binaries/buckthornhitch.js',
} as const;
const membersPerDatabase = 3;
const maximumCommandAttempts = 50;
/** Delay between the attempts of a command in milliseconds. */
const retryDelay = 200;

/** Fleet of separate processes on loopback, for tests, measurements and local trials. */
export class ProcessFleet {
	readonly processes = new Map<string, FleetProcess>();
	readonly callerAddresses = new Map<string, Address>();
	readonly announcementAddresses: Address[] = [];
	readonly memberAddresses = new Map<string, Address>();
	controlAddresses: readonly Address[] = [];
	#seeds: readonly Address[] = [];

	constructor(readonly options: ProcessFleetOptions) {
		mkdirSync(options.folder, {recursive: true});
	}

	/** Folder with the copy of the configuration files that was applied. */
	get configurationFolder(): string {
		return join(this.options.folder, 'configuration');
	}

	/** Starts all processes, bootstraps the control instances and applies the configuration. */
	async start(): Promise<void> {
		const {controls, configurationFolder} = this.options;
		this.controlAddresses = await findFreeAddresses(controls);
		this.#seeds = await findFreeAddresses(controls);
		for (let index = 0; index < controls; index++) {
			await this.#startFleetProcess('control', index, ['--data-folder', join(this.options.folder, `control-${index + 1}`)], this.controlAddresses[index], this.#seeds[index]);
		}

		await this.runOperatorCommand(['bootstrap']);
		if (configurationFolder !== undefined) {
			// Applies a copy, since the command writes the accepted revision into the folder and must not change the original.
			cpSync(configurationFolder, this.configurationFolder, {recursive: true});
			await this.runOperatorCommand(['apply', this.configurationFolder, '--expected-revision', '0']);
		}

		for (let index = 0; index < this.options.pools; index++) {
			await this.#startFleetProcess('pool', index, []);
		}

		for (let index = 0; index < this.options.entries; index++) {
			await this.#startEntry(index);
		}

		for (const database of this.options.databases) {
			await this.#startMembers(database);
		}
	}

	/** Runs an operator command until it succeeds and resolves with its output. Rejects when all attempts have failed. */
	async runOperatorCommand(commandArguments: readonly string[]): Promise<string> {
		let output = '';
		for (let attempt = 0; attempt < maximumCommandAttempts; attempt++) {
			const result = await this.runOperatorCommandOnce(commandArguments);
			output = result.output;
			if (result.status === 0) {
				return output;
			}

			await new Promise(resolve => {
				setTimeout(resolve, retryDelay);
			});
		}

		throw new Error(`${commandArguments.join(' ')} failed: ${output}`);
	}

	/** Runs an operator command once. */
	async runOperatorCommandOnce(commandArguments: readonly string[]): Promise<{readonly status: number | null; readonly output: string}> {
		const child = spawn(process.execPath, [join(distributionFolder, modulePaths.operator), ...commandArguments, '--controls', this.controlAddresses.join(',')]);
		let output = '';
		const append = (chunk: Uint8Array): void => {
			output += String(chunk);
		};

		child.stdout.on('data', append);
		child.stderr.on('data', append);

		return new Promise(resolve => {
			child.on('close', status => {
				resolve({status, output});
			});
		});
	}

	/** Sends a signal to a process and resolves when the process has exited; for SIGSTOP and SIGCONT it resolves at once. */
	async sendSignal(name: string, signal: NodeJS.Signals): Promise<void> {
		const {child} = this.processes.get(name)!;
		const ended = signal === 'SIGSTOP' || signal === 'SIGCONT' || child.exitCode !== null || child.signalCode !== null
			? Promise.resolve()
			: new Promise<void>(resolve => {
				child.once('exit', () => {
					resolve();
				});
			});
		child.kill(signal);
		return ended;
	}

	/** Returns what a process has logged so far, over its restarts. */
	logOf(name: string): string {
		return readFileSync(join(this.options.folder, `${name}.log`), 'utf8');
	}

	/** Restarts an exited process with the same flags. */
	restart(name: string): void {
		const {module, flags} = this.processes.get(name)!;
		this.#spawn(name, module, flags);
	}

	/** Kills all processes and resolves when they have exited. */
	async stop(): Promise<void> {
		await Promise.all([...this.processes.keys()].map(async name => {
			await this.sendSignal(name, 'SIGKILL');
		}));
	}

	async #startEntry(index: number): Promise<void> {
		const [callerAddress, announcementAddress] = await findFreeAddresses(2);
		this.callerAddresses.set(`entry-${index + 1}`, callerAddress);
		this.announcementAddresses.push(announcementAddress);
		await this.#startFleetProcess('entry', index, ['--caller-address', callerAddress, '--announcement-address', announcementAddress]);
	}

	async #startMembers(database: string): Promise<void> {
		const addresses = await findFreeAddresses(membersPerDatabase);
		for (const [index, address] of addresses.entries()) {
			const name = `${database}-member-${index + 1}`;
			const extraFlags = await this.options.extraMemberFlags?.(name, address) ?? [];
			this.memberAddresses.set(name, address);
			const announcementFlags = ['--database', database, '--data-centre', this.#dataCentre(index).name, '--entries', this.announcementAddresses.join(',')];
			this.#spawn(name, modulePaths.member, ['--name', name, '--address', address, ...announcementFlags, ...this.options.memberFlags, ...extraFlags]);
		}
	}

	async #startFleetProcess(role: 'control' | 'pool' | 'entry', index: number, flags: readonly string[], ...linkAndGossipAddresses: ReadonlyArray<Address | undefined>): Promise<void> {
		const name = `${role}-${index + 1}`;
		const dataCentre = this.#dataCentre(index);
		const [linkAddress, gossipAddress, metricsAddress] = await findFreeAddresses(3);
		this.#spawn(name, modulePaths[role], [
			'--name',
			name,
			'--instance',
			`instance-${name}`,
			'--data-centre',
			dataCentre.name,
			'--region',
			dataCentre.region,
			'--link-address',
			linkAndGossipAddresses[0] ?? linkAddress,
			'--gossip-address',
			linkAndGossipAddresses[1] ?? gossipAddress,
			'--metrics-address',
			metricsAddress,
			'--seeds',
			this.#seeds.join(','),
			'--controls',
			this.controlAddresses.join(','),
			...flags,
		]);
	}

	#dataCentre(index: number): {readonly name: string; readonly region: string} {
		return this.options.dataCentres[index % this.options.dataCentres.length];
	}

	#spawn(name: string, module: string, flags: readonly string[]): void {
		const log = createWriteStream(join(this.options.folder, `${name}.log`), {flags: 'a'});
		const child = spawn(process.execPath, [join(distributionFolder, module), ...flags], {stdio: ['ignore', 'pipe', 'pipe']});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.processes.set(name, {
			name, module, flags, child,
		});
	}
}
