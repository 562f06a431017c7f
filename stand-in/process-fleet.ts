import {spawn, type ChildProcess} from 'node:child_process';
import {cpSync, createWriteStream, mkdirSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type Address} from '../source/links/address.js';
import {findFreeAddresses} from './free-addresses.js';

/** Sizes of a fleet of separate processes. */
export type ProcessFleetOptions = {
	/** Folder with base.yaml and overlays, or undefined to apply none. */
	readonly configurationFolder: string | undefined;
	/** Folder for data and logs of all processes. */
	readonly folder: string;
	readonly dataCentres: ReadonlyArray<{readonly name: string; readonly region: string}>;
	readonly controls: number;
	readonly pools: number;
	readonly entries: number;
	/** Databases that get a group of three stand-in members. */
	readonly databases: readonly string[];
	readonly memberFlags: readonly string[];
	/** Returns further flags of one member, for example an announced address. */
	readonly extraMemberFlags?: (name: string, address: Address) => Promise<readonly string[]>;
};

/** One started process. */
export type FleetProcess = {
	readonly name: string;
	readonly module: string;
	readonly flags: readonly string[];
	child: ChildProcess;
};

const distribution = fileURLToPath(new URL('..', import.meta.url));
const modules = {
	control: 'source/binaries/buckthornhitch-control.js',
	pool: 'source/binaries/buckthornhitch-pool.js',
	entry: 'source/binaries/buckthornhitch-entry.js',
	member: 'stand-in/stand-in-member.js',
	operator: 'source/binaries/buckthornhitch.js',
} as const;
const membersPerDatabase = 3;
const commandAttempts = 50;
const attemptPause = 200;

/** A whole deployment as separate processes on loopback, for tests, measurements and trying out. */
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

	/** Folder with the configuration files that this fleet has applied. */
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
			// The command notes the accepted revision in the folder, which must not change the example.
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

	/** Runs an operator's command until it succeeds; resolves with its output. Rejects after many attempts. */
	async runOperatorCommand(words: readonly string[]): Promise<string> {
		let output = '';
		for (let attempt = 0; attempt < commandAttempts; attempt++) {
			const result = await this.runOperatorCommandOnce(words);
			output = result.output;
			if (result.status === 0) {
				return output;
			}

			await new Promise(resolve => {
				setTimeout(resolve, attemptPause);
			});
		}

		throw new Error(`${words.join(' ')} failed: ${output}`);
	}

	/** Runs an operator's command once. */
	async runOperatorCommandOnce(words: readonly string[]): Promise<{readonly status: number | null; readonly output: string}> {
		const child = spawn(process.execPath, [join(distribution, modules.operator), ...words, '--controls', this.controlAddresses.join(',')]);
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

	/** Sends a signal to a process and resolves when it has ended, except for signals that only pause it. */
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

	/** Starts an ended process again with the same settings. */
	restart(name: string): void {
		const {module, flags} = this.processes.get(name)!;
		this.#spawn(name, module, flags);
	}

	/** Kills all processes. */
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
			const ownFlags = await this.options.extraMemberFlags?.(name, address) ?? [];
			this.memberAddresses.set(name, address);
			const announcement = ['--database', database, '--data-centre', this.#place(index).name, '--entries', this.announcementAddresses.join(',')];
			this.#spawn(name, modules.member, ['--name', name, '--address', address, ...announcement, ...this.options.memberFlags, ...ownFlags]);
		}
	}

	async #startFleetProcess(role: 'control' | 'pool' | 'entry', index: number, flags: readonly string[], ...given: ReadonlyArray<Address | undefined>): Promise<void> {
		const name = `${role}-${index + 1}`;
		const place = this.#place(index);
		const [linkAddress, gossipAddress, metricsAddress] = await findFreeAddresses(3);
		this.#spawn(name, modules[role], [
			'--name',
			name,
			'--instance',
			`instance-${name}`,
			'--data-centre',
			place.name,
			'--region',
			place.region,
			'--link-address',
			given[0] ?? linkAddress,
			'--gossip-address',
			given[1] ?? gossipAddress,
			'--metrics-address',
			metricsAddress,
			'--seeds',
			this.#seeds.join(','),
			'--controls',
			this.controlAddresses.join(','),
			...flags,
		]);
	}

	#place(index: number): {readonly name: string; readonly region: string} {
		return this.options.dataCentres[index % this.options.dataCentres.length];
	}

	#spawn(name: string, module: string, flags: readonly string[]): void {
		const log = createWriteStream(join(this.options.folder, `${name}.log`), {flags: 'a'});
		const child = spawn(process.execPath, [join(distribution, module), ...flags], {stdio: ['ignore', 'pipe', 'pipe']});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.processes.set(name, {
			name, module, flags, child,
		});
	}
}
