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
import {misplacedStatementText, StandInMember} from '../stand-in/member.js';
import {ProcessFleet, type FleetProcess} from '../stand-in/process-fleet.js';
import {type FinalContent, type History, type HistoryRow} from './history.js';

/** Database of the tested deployment. */
export const database = 'ledger-1';

const dataCentres = [{name: 'chc-a', region: 'canterbury'}, {name: 'dun-a', region: 'otago'}, {name: 'hok-a', region: 'westland'}];

/** Content of the base file of the configuration. Its limits are short, so that requests of unknown outcome end within a scenario. */
export const baseFileContent = `deployment: verification
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

const requestTimeout: Milliseconds = 1000;
const pollPeriod: Milliseconds = 50;
const repairTimeout: Milliseconds = 20_000;
const revisionSamplePeriod: Milliseconds = 500;

/** Resolves after the duration. */
export const delay = async (duration: Milliseconds): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/** Polls the function until it returns a value other than undefined, and resolves with that value. Rejects after the timeout. */
export async function waitForValue<Value>(subject: string, probe: () => Promise<Value | undefined>, timeout = repairTimeout): Promise<Value> {
	const end = performance.now() + timeout;
	while (performance.now() < end) {
		const value = await probe().catch(() => undefined);
		if (value !== undefined) {
			return value;
		}

		await delay(pollPeriod);
	}

	throw new Error(`${subject}: timed out after ${timeout} ms`);
}

/** Fleet under test: the separate processes of a deployment, with a fault-injecting relay in front of each member. */
export class TestedFleet {
	/** Members that run in this process, if any. */
	readonly members: StandInMember[] = [];
	readonly relays = new Map<string, FaultInjectingRelay>();
	readonly processes: ProcessFleet;
	readonly linkClient: TcpLinkClient;
	readonly #clock = new SystemClock();
	readonly #frozen = new Set<string>();
	readonly #isolated = new Set<string>();
	#isSampling = false;
	#controlClient: ControlClient | undefined;

	constructor(readonly folder: string, private readonly history: History, private readonly membersInProcess = false) {
		this.linkClient = new TcpLinkClient(this.#clock, new HybridClock(this.#clock));
		const configurationFolder = join(folder, 'base');
		mkdirSync(configurationFolder, {recursive: true});
		writeFileSync(join(configurationFolder, 'base.yaml'), baseFileContent);
		this.processes = new ProcessFleet({
			configurationFolder,
			folder: join(folder, 'fleet'),
			dataCentres,
			controls: 3,
			pools: 3,
			entries: 3,
			databases: membersInProcess ? [] : [database],
			memberFlags: ['--apply-delay', '20'],
			extraMemberFlags: async (name, address) => {
				const relay = new FaultInjectingRelay({target: address});
				await relay.start();
				this.relays.set(name, relay);
				return ['--announced-address', relay.address, '--data-folder', join(folder, name)];
			},
		});
	}

	/** Client of all control instances. */
	get controlClient(): ControlClient {
		this.#controlClient ??= new ControlClient(this.linkClient, this.#clock, this.processes.controlAddresses);
		return this.#controlClient;
	}

	/** Starts all processes and waits until the group has a primary. */
	async start(): Promise<void> {
		// Lets every process react to the signal that isolates it from the network.
		process.env.NODE_OPTIONS = `--import ${new URL('network-isolation.js', import.meta.url).href}`;
		try {
			await this.processes.start();
		} finally {
			delete process.env.NODE_OPTIONS;
		}

		if (this.membersInProcess) {
			await this.#startMembers();
		}

		await this.primary();
		this.#isSampling = true;
		void this.#sampleRevisions();
	}

	/** Returns a new client of the given control instances, by default of all. Clients share only the TCP connections of the link client. */
	newControlClient(addresses = this.processes.controlAddresses): ControlClient {
		return new ControlClient(this.linkClient, this.#clock, addresses);
	}

	/** Returns the link address of a process. */
	linkAddress(name: string): Address {
		return this.#flagValue(name, '--link-address');
	}

	/** Returns the data folder of a process. */
	dataFolder(name: string): string {
		return this.#flagValue(name, '--data-folder');
	}

	/** Returns the configuration revision that each process reports for itself; processes that do not answer are left out. */
	async revisions(): Promise<ReadonlyArray<{readonly name: string; readonly revision: number}>> {
		const found = await Promise.all([...this.processes.processes.values()].map(async process => this.#queryRevision(process)));
		return found.filter(sample => sample !== undefined);
	}

	/** Returns the statuses of the members, asked directly rather than through the relays; members that do not answer are left out. */
	async memberStatuses(): Promise<readonly MemberStatus[]> {
		const found = await Promise.all([...this.processes.memberAddresses.values()].map(async address => queryMemberStatus(address).catch(() => undefined)));
		return found.filter(status => status !== undefined);
	}

	/** Returns the name of the primary that a majority follows. Rejects if there is none within the repair timeout. */
	async primary(): Promise<string> {
		const status = await waitForValue('a primary with a majority', async () => currentPrimary(await this.memberStatuses()));
		return status.member;
	}

	/** Returns the name of the pool that owns the database, which is the one that holds the lease on the primary. */
	async owningPool(): Promise<string> {
		return waitForValue('a pool that owns the database', async () => {
			const status = currentPrimary(await this.memberStatuses());
			return status?.leaseHolder === null || status?.leaseHolder === '' ? undefined : status?.leaseHolder;
		});
	}

	/** Returns the name of the control instance that leads the control log. */
	async controlLeader(): Promise<string> {
		return waitForValue('a control leader', async () => {
			const results = await this.controlClient.status();
			return results.find(({status}) => status?.role === 'leader' && status.leaseLive)?.status?.name;
		});
	}

	/** Sends a signal to a process and resolves once the process has ended; at once for SIGSTOP and SIGCONT. */
	async sendSignal(name: string, signal: NodeJS.Signals): Promise<void> {
		if (signal === 'SIGSTOP') {
			this.#frozen.add(name);
		} else if (signal === 'SIGCONT') {
			this.#frozen.delete(name);
		}

		await this.processes.sendSignal(name, signal);
	}

	/** Suspends a process for the duration (SIGSTOP, then SIGCONT). */
	async freeze(name: string, duration: Milliseconds): Promise<void> {
		await this.sendSignal(name, 'SIGSTOP');
		await delay(duration);
		await this.sendSignal(name, 'SIGCONT');
	}

	/** Isolates a process from the network, or ends the isolation. */
	setIsolated(name: string, isIsolated: boolean): void {
		if (this.#isolated.has(name) !== isIsolated) {
			this.processes.processes.get(name)!.child.kill('SIGUSR2');
			this.#isolated[isIsolated ? 'add' : 'delete'](name);
		}
	}

	/** Kills a process and starts it again after the downtime. */
	async killAndRestart(name: string, downtime: Milliseconds): Promise<void> {
		await this.sendSignal(name, 'SIGKILL');
		await delay(downtime);
		this.restart(name);
	}

	/** Restarts a process that has ended. */
	restart(name: string): void {
		process.env.NODE_OPTIONS = `--import ${new URL('network-isolation.js', import.meta.url).href}`;
		this.processes.restart(name);
		delete process.env.NODE_OPTIONS;
	}

	/** Ends all injected faults, restarts the processes that have ended, and waits until all members follow one primary. */
	async repair(): Promise<void> {
		for (const name of this.#frozen) {
			await this.sendSignal(name, 'SIGCONT');
		}

		for (const name of this.#isolated) {
			this.setIsolated(name, false);
		}

		await Promise.all([...this.relays.values()].map(async relay => relay.heal()));
		for (const [name, {child}] of this.processes.processes) {
			if (child.exitCode !== null || child.signalCode !== null) {
				this.restart(name);
			}
		}

		await this.#waitForMembers('all members as followers of one primary', () => true);
	}

	/** Waits until all members have received and applied the same log, and reads the tables from the primary. No request may be in progress. */
	async finalContent(): Promise<FinalContent> {
		await this.#waitForMembers('all members with the same log', (status, {logTerm, receivedPosition}) => status.logTerm === logTerm
			&& status.receivedPosition === receivedPosition && status.appliedPosition === receivedPosition);
		return withMemberClient(this.processes.memberAddresses.get(await this.primary())!, async client => ({
			notice: await readTable(client, 'notice'), register: await readTable(client, 'register'), pair: await readTable(client, 'pair'),
		}));
	}

	/** Returns a description of each statement that a member received inside the transaction of another caller. */
	misplacedStatements(): readonly string[] {
		if (this.membersInProcess) {
			return this.members.filter(({misplacedStatementCount}) => misplacedStatementCount > 0).map(({name}) => `${name}: a statement arrived ${misplacedStatementText}`);
		}

		return [...this.processes.memberAddresses.keys()].flatMap(name => this.processes.logOf(name).split('\n').filter(line => line.includes(misplacedStatementText)));
	}

	/** Stops all processes, members, relays and links. */
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
		await waitForValue(subject, async () => {
			const statuses = await this.memberStatuses();
			const primary = currentPrimary(statuses);
			const matching = primary && statuses.filter(status => status.primaryTerm === primary.primaryTerm && condition(status, primary));
			return matching?.length === this.processes.memberAddresses.size ? true : undefined;
		});
	}

	/** Samples the revision that every process reports for itself, and the one that the control leader confirms. */
	async #sampleRevisions(): Promise<void> {
		while (this.#isSampling) {
			await Promise.all([...this.processes.processes.values()].map(async process => this.#sampleProcess(process)));
			const results = await this.controlClient.status(requestTimeout);
			for (const {status} of results) {
				if (status?.leaseLive) {
					this.history.recordRevision('confirmed by the control leader', status.revision);
				}
			}

			await delay(revisionSamplePeriod);
		}
	}

	async #sampleProcess(process: FleetProcess): Promise<void> {
		const {pid} = process.child;
		const sample = await this.#queryRevision(process);
		if (sample) {
			// A restarted process begins without a configuration, so its revisions are recorded separately.
			this.history.recordRevision(`${sample.name}, process ${pid}`, sample.revision);
		}
	}

	async #queryRevision({name, flags}: FleetProcess): Promise<{readonly name: string; readonly revision: number} | undefined> {
		if (!flags.includes('--link-address')) {
			return undefined;
		}

		const address = this.#flagValue(name, '--link-address');
		try {
			const records = await this.linkClient.request(address, 'instances', null, requestTimeout) as readonly ProcessRecord[];
			const own = records.find(record => record.linkAddress === address);
			return own && {name, revision: own.configurationRevision};
		} catch {
			return undefined;
		}
	}

	#flagValue(name: string, flag: string): string {
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

async function withMemberClient<Value>(address: Address, action: (client: pg.Client) => Promise<Value>): Promise<Value> {
	const client = new pg.Client({
		...parseAddress(address), user: 'verification', database, application_name: 'verification', connectionTimeoutMillis: requestTimeout, query_timeout: 5 * requestTimeout,
	});
	client.on('error', () => {
		// Reported by the query that fails.
	});
	try {
		await client.connect();
		return await action(client);
	} finally {
		void client.end().catch(() => undefined);
	}
}

async function queryMemberStatus(address: Address): Promise<MemberStatus> {
	return withMemberClient(address, async client => {
		const {rows} = await client.query<Record<string, unknown>>('SELECT * FROM group_status()');
		return parseMemberStatus(Object.fromEntries(Object.entries(rows[0]).map(([name, value]) => [name, value === true ? 't' : (value === false ? 'f' : String(value as string))])));
	});
}

async function readTable(client: pg.Client, table: string): Promise<readonly HistoryRow[]> {
	const {rows} = await client.query<HistoryRow>(`SELECT key, value FROM ${table}`);
	return rows;
}
