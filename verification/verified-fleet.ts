import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import pg from 'pg';
import {SystemClock} from '../source/clock/system-clock.js';
import {type Milliseconds} from '../source/clock/clock.js';
import {ControlClient} from '../source/control/control-client.js';
import {parseMemberStatus} from '../source/database-group/member-status-row.js';
import {type MemberStatus} from '../source/database-group/types.js';
import {parseAddress, type Address} from '../source/links/address.js';
import {TcpLinkClient} from '../source/links/tcp-link-client.js';
import {type ProcessRecord} from '../source/membership/process-record.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {FaultInjectingRelay} from '../stand-in/fault-injecting-relay.js';
import {StandInMember} from '../stand-in/member.js';
import {ProcessFleet, type FleetProcess} from '../stand-in/process-fleet.js';
import {type FinalContent, type History, type HistoryRow} from './history.js';

/** Database of the verified deployment. */
export const database = 'ledger-1';

const dataCentres = [{name: 'chc-a', region: 'canterbury'}, {name: 'dun-a', region: 'otago'}, {name: 'hok-a', region: 'westland'}];

/** Base file; its limits are short, so that unknown outcomes end within a scenario. */
export const baseFile = `deployment: verification
places:
${dataCentres.map(({name, region}) => `  - {name: ${name}, region: ${region}}`).join('\n')}
services:
  - name: ledger
    databases: 1
    members: 3
    slots: 3
    connections: 45
    connectTime: 12ms
limits:
  requestDeadline: 4s
  statementTimeout: 4s
`;

const memberTimeout: Milliseconds = 1000;
const pollPause: Milliseconds = 50;
const repairTime: Milliseconds = 20_000;
const samplePeriod: Milliseconds = 500;

/** Resolves after the duration. */
export const delay = async (duration: Milliseconds): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/** Resolves with the first value that the function returns other than undefined. Rejects after the time. */
export async function eventually<Value>(subject: string, probe: () => Promise<Value | undefined>, time = repairTime): Promise<Value> {
	const end = performance.now() + time;
	while (performance.now() < end) {
		const value = await probe().catch(() => undefined);
		if (value !== undefined) {
			return value;
		}

		await delay(pollPause);
	}

	throw new Error(`${subject}: not within ${time} ms`);
}

/** Deployment of separate processes with a relay in front of each member. */
export class VerifiedFleet {
	/** Members in this process, if any. */
	readonly members: StandInMember[] = [];
	readonly relays = new Map<string, FaultInjectingRelay>();
	readonly processes: ProcessFleet;
	readonly linkClient: TcpLinkClient;
	readonly #clock = new SystemClock();
	readonly #stopped = new Set<string>();
	readonly #cut = new Set<string>();
	#isSampling = false;
	#controlClient: ControlClient | undefined;

	constructor(readonly folder: string, private readonly history: History, private readonly membersHere = false) {
		this.linkClient = new TcpLinkClient(this.#clock, new HybridClock(this.#clock));
		const configurationFolder = join(folder, 'base');
		mkdirSync(configurationFolder, {recursive: true});
		writeFileSync(join(configurationFolder, 'base.yaml'), baseFile);
		this.processes = new ProcessFleet({
			configurationFolder,
			folder: join(folder, 'fleet'),
			dataCentres,
			controls: 3,
			pools: 3,
			entries: 3,
			databases: membersHere ? [] : [database],
			memberFlags: ['--apply-delay', '20'],
			extraMemberFlags: async (name, address) => {
				const relay = new FaultInjectingRelay({target: address});
				await relay.start();
				this.relays.set(name, relay);
				return ['--announced-address', relay.address, '--data-folder', join(folder, name)];
			},
		});
	}

	/** Sends changes and questions to the control instances. */
	get controlClient(): ControlClient {
		this.#controlClient ??= new ControlClient(this.linkClient, this.#clock, this.processes.controlAddresses);
		return this.#controlClient;
	}

	/** Starts all processes and waits until the group has a primary. */
	async start(): Promise<void> {
		// Every process takes the signal that cuts it off from the network.
		process.env.NODE_OPTIONS = `--import ${new URL('network-cut.js', import.meta.url).href}`;
		try {
			await this.processes.start();
		} finally {
			delete process.env.NODE_OPTIONS;
		}

		if (this.membersHere) {
			await this.#startMembers();
		}

		await this.primary();
		this.#isSampling = true;
		void this.#sampleRevisions();
	}

	/** Returns a client of control instances, by default of all, that shares nothing with others but the links. */
	newControlClient(addresses = this.processes.controlAddresses): ControlClient {
		return new ControlClient(this.linkClient, this.#clock, addresses);
	}

	controlAddress(name: string): Address {
		return this.#flag(name, '--link-address');
	}

	dataFolder(name: string): string {
		return this.#flag(name, '--data-folder');
	}

	/** Returns the configuration revision that each process reports of itself; processes without an answer are left out. */
	async revisions(): Promise<ReadonlyArray<{readonly name: string; readonly revision: number}>> {
		const found = await Promise.all([...this.processes.processes.values()].map(async process => this.#revision(process)));
		return found.filter(sample => sample !== undefined);
	}

	/** Returns the statuses of the members that answer directly, without a relay. */
	async statuses(): Promise<readonly MemberStatus[]> {
		const found = await Promise.all([...this.processes.memberAddresses.values()].map(async address => memberStatus(address).catch(() => undefined)));
		return found.filter(status => status !== undefined);
	}

	/** Returns the name of the primary that a majority follows. Rejects when there is none for long. */
	async primary(): Promise<string> {
		const status = await eventually('a primary with a majority', async () => currentPrimary(await this.statuses()));
		return status.member;
	}

	/** Returns the name of the pool that holds the lease of the primary. */
	async owner(): Promise<string> {
		return eventually('a pool that owns the database', async () => {
			const status = currentPrimary(await this.statuses());
			return status?.leaseHolder === null || status?.leaseHolder === '' ? undefined : status?.leaseHolder;
		});
	}

	/** Returns the name of the control instance that leads. */
	async controlLeader(): Promise<string> {
		return eventually('a control leader', async () => {
			const results = await this.controlClient.status();
			return results.find(({status}) => status?.role === 'leader' && status.leaseLive)?.status?.name;
		});
	}

	/** Sends a signal; resolves at once for one that only pauses the process. */
	async signal(name: string, signal: NodeJS.Signals): Promise<void> {
		if (signal === 'SIGSTOP') {
			this.#stopped.add(name);
		} else if (signal === 'SIGCONT') {
			this.#stopped.delete(name);
		}

		await this.processes.sendSignal(name, signal);
	}

	/** Stops a process for the duration without ending it. */
	async freeze(name: string, duration: Milliseconds): Promise<void> {
		await this.signal(name, 'SIGSTOP');
		await delay(duration);
		await this.signal(name, 'SIGCONT');
	}

	/** Cuts a process off from the network, or ends the cut. */
	cut(name: string, isCut: boolean): void {
		if (this.#cut.has(name) !== isCut) {
			this.processes.processes.get(name)!.child.kill('SIGUSR2');
			this.#cut[isCut ? 'add' : 'delete'](name);
		}
	}

	/** Kills a process and starts it again after the pause. */
	async killAndRestart(name: string, duration: Milliseconds): Promise<void> {
		await this.signal(name, 'SIGKILL');
		await delay(duration);
		this.restart(name);
	}

	/** Starts an ended process again. */
	restart(name: string): void {
		process.env.NODE_OPTIONS = `--import ${new URL('network-cut.js', import.meta.url).href}`;
		this.processes.restart(name);
		delete process.env.NODE_OPTIONS;
	}

	/** Ends all faults, starts ended processes again and waits until all members follow one primary. */
	async repair(): Promise<void> {
		for (const name of this.#stopped) {
			await this.signal(name, 'SIGCONT');
		}

		for (const name of this.#cut) {
			this.cut(name, false);
		}

		await Promise.all([...this.relays.values()].map(async relay => relay.heal()));
		for (const [name, {child}] of this.processes.processes) {
			if (child.exitCode !== null || child.signalCode !== null) {
				this.restart(name);
			}
		}

		await this.#waitForMembers('all members as followers of one primary', () => true);
	}

	/** Reads the content of the group from its primary once all members hold and have applied the same log; no request may be under way. */
	async finalContent(): Promise<FinalContent> {
		await this.#waitForMembers('all members with the same log', (status, {logTerm, receivedPosition}) => status.logTerm === logTerm
			&& status.receivedPosition === receivedPosition && status.appliedPosition === receivedPosition);
		return withMember(this.processes.memberAddresses.get(await this.primary())!, async client => ({
			notice: await readTable(client, 'notice'), register: await readTable(client, 'register'), pair: await readTable(client, 'pair'),
		}));
	}

	/** Ends all processes. */
	async stop(): Promise<void> {
		this.#isSampling = false;
		await this.processes.stop();
		await Promise.all(this.members.map(async member => member.stop()));
		for (const relay of this.relays.values()) {
			relay.close();
		}

		await this.linkClient.close();
	}

	async #waitForMembers(subject: string, condition: (status: MemberStatus, primary: MemberStatus) => boolean): Promise<void> {
		await eventually(subject, async () => {
			const statuses = await this.statuses();
			const primary = currentPrimary(statuses);
			const follow = primary && statuses.filter(status => status.primaryTerm === primary.primaryTerm && condition(status, primary));
			return follow?.length === this.processes.memberAddresses.size ? true : undefined;
		});
	}

	/** Samples the revision that every process reports of itself, and the one that the control leader confirms. */
	async #sampleRevisions(): Promise<void> {
		while (this.#isSampling) {
			await Promise.all([...this.processes.processes.values()].map(async process => this.#sampleProcess(process)));
			const results = await this.controlClient.status(memberTimeout);
			for (const {status} of results) {
				if (status?.leaseLive) {
					this.history.sampleRevision('confirmed by the control leader', status.revision);
				}
			}

			await delay(samplePeriod);
		}
	}

	async #sampleProcess(process: FleetProcess): Promise<void> {
		const {pid} = process.child;
		const sample = await this.#revision(process);
		if (sample) {
			// A process that starts again begins without a configuration.
			this.history.sampleRevision(`${sample.name}, process ${pid}`, sample.revision);
		}
	}

	async #revision({name, flags}: FleetProcess): Promise<{readonly name: string; readonly revision: number} | undefined> {
		if (!flags.includes('--link-address')) {
			return undefined;
		}

		const address = this.#flag(name, '--link-address');
		try {
			const records = await this.linkClient.request(address, 'instances', null, memberTimeout) as readonly ProcessRecord[];
			const own = records.find(record => record.linkAddress === address);
			return own && {name, revision: own.configurationRevision};
		} catch {
			return undefined;
		}
	}

	#flag(name: string, flag: string): string {
		const {flags} = this.processes.processes.get(name)!;
		return flags[flags.indexOf(flag) + 1];
	}

	async #startMembers(): Promise<void> {
		for (const [index, {name: dataCentre}] of dataCentres.entries()) {
			const member = new StandInMember({
				name: `${database}-member-${index + 1}`, applyDelay: 20, announcement: {entries: this.processes.announcementAddresses, database, dataCentre},
			});
			await member.start();
			this.members.push(member);
			this.processes.memberAddresses.set(member.name, member.address);
		}
	}
}

function currentPrimary(statuses: readonly MemberStatus[]): MemberStatus | undefined {
	const primary = statuses.filter(({acceptingWrites}) => acceptingWrites).toSorted((first, second) => second.primaryTerm - first.primaryTerm)[0];
	const followers = statuses.filter(({primaryTerm, primaryMember}) => primaryTerm === primary?.primaryTerm && primaryMember === primary.member);
	return followers.length >= 2 ? primary : undefined;
}

async function withMember<Value>(address: Address, action: (client: pg.Client) => Promise<Value>): Promise<Value> {
	const client = new pg.Client({
		...parseAddress(address), user: 'verification', database, application_name: 'verification', connectionTimeoutMillis: memberTimeout, query_timeout: 5 * memberTimeout,
	});
	client.on('error', () => {
		// The query on the connection fails.
	});
	try {
		await client.connect();
		return await action(client);
	} finally {
		void client.end().catch(() => undefined);
	}
}

async function memberStatus(address: Address): Promise<MemberStatus> {
	return withMember(address, async client => {
		const {rows} = await client.query<Record<string, unknown>>('SELECT * FROM group_status()');
		return parseMemberStatus(Object.fromEntries(Object.entries(rows[0]).map(([name, value]) => [name, value === true ? 't' : (value === false ? 'f' : String(value as string))])));
	});
}

async function readTable(client: pg.Client, table: string): Promise<readonly HistoryRow[]> {
	const {rows} = await client.query<HistoryRow>(`SELECT key, value FROM ${table}`);
	return rows;
}
