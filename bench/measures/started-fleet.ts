import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import pg from 'pg';
import {type Address, parseAddress} from '../../source/links/address.js';
import {deployments, type DeploymentName} from '../../stand-in/deployments.js';
import {ProcessFleet} from '../../stand-in/process-fleet.js';
import {sleep} from './sleep.js';

const connectAttempts = 20;

/** A running fleet of processes for one database; stop ends it and removes its files. */
export type StartedFleet = {
	readonly fleet: ProcessFleet;
	readonly database: string;
	readonly stop: () => Promise<void>;
};

/** Number of processes by role. */
export type FleetSizes = {readonly pools: number; readonly entries: number};

/** Starts the processes for the first database of an example deployment and waits until it accepts statements. */
export async function startFleet(deployment: DeploymentName, sizes: FleetSizes, memberFlags: readonly string[]): Promise<StartedFleet> {
	const folder = mkdtempSync(join(tmpdir(), 'buckthornhitch-bench-'));
	const {dataCentres, databases} = deployments[deployment];
	const fleet = new ProcessFleet({
		...sizes, controls: 1, configurationFolder: `examples/${deployment}`, folder, dataCentres, databases: databases.slice(0, 1), memberFlags,
	});
	const killProcesses = (): void => {
		for (const {child} of fleet.processes.values()) {
			child.kill('SIGKILL');
		}
	};

	// The processes must not outlive an interrupted run.
	process.once('exit', killProcesses);
	const stop = async (): Promise<void> => {
		process.off('exit', killProcesses);
		await fleet.stop();
		rmSync(folder, {recursive: true, force: true});
	};

	try {
		await fleet.start();
		const client = await connectWhenReady([...fleet.callerAddresses.values()][0], databases[0]);
		await client.end();
	} catch (error) {
		await stop();
		throw error;
	}

	return {fleet, database: databases[0], stop};
}

/** Opens a connection; a maximum age such as `5s` applies to all its reads. Later connection failures are reported by its queries. */
export async function connect(address: Address, database: string, maximumAge = ''): Promise<pg.Client> {
	const client = new pg.Client({
		...parseAddress(address), user: 'bench', database, options: maximumAge === '' ? undefined : `-c buckthornhitch.max_age=${maximumAge}`,
	});
	client.on('error', () => {
		// The next query on the connection reports the failure.
	});
	await client.connect();
	return client;
}

/** Asks the members directly and returns the name of the primary with the highest term, or undefined. */
export async function primaryName({fleet, database}: StartedFleet): Promise<string | undefined> {
	const memberStates = await Promise.all([...fleet.memberAddresses.values()].map(async address => queryMemberState(address, database)));
	const primaries = memberStates.filter(state => state?.accepting_writes && state.role === 'primary');
	return primaries.toSorted((first, second) => Number(second!.primary_term) - Number(first!.primary_term))[0]?.member;
}

/** Returns the resident memory of a process in bytes. */
export function residentBytes(processId: number): number {
	return Number(/^VmRSS:\s+(?<size>\d+) kB/mv.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.groups?.size) * 1024;
}

/** Returns the processor time that a process has used, in seconds; the kernel counts in hundredths of a second. */
export function processorSeconds(processId: number): number {
	const fields = readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1].split(' ');
	return (Number(fields[11]) + Number(fields[12])) / 100;
}

type MemberState = {readonly member: string; readonly role: string; readonly accepting_writes: boolean; readonly primary_term: string};

async function queryMemberState(address: Address, database: string): Promise<MemberState | undefined> {
	try {
		const client = await connect(address, database);
		const {rows} = await client.query<MemberState>('SELECT * FROM group_status()');
		await client.end();
		return rows[0];
	} catch {
		return undefined;
	}
}

async function connectWhenReady(address: Address, database: string): Promise<pg.Client> {
	for (let attempt = 0; ; attempt++) {
		try {
			const client = await connect(address, database);
			await client.query('CREATE TABLE IF NOT EXISTS bench (id int PRIMARY KEY, name text)');
			return client;
		} catch (error) {
			if (attempt >= connectAttempts) {
				throw error;
			}

			await sleep(200);
		}
	}
}
