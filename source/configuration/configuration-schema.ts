import {z} from 'zod';
import {parseDuration} from './duration.js';

/** Metadata of a setting, shown to operators: its meaning and the allowed values. */
export type SettingDescription = {
	readonly description: string;
	readonly allowed: string;
};

const namePattern = /^[a-z][a-z0-9\-]{0,47}$/v;
const maximumSlots = 1000;
const maximumConnections = 10_000;

// The design target is 8,200 databases; the limit allows for more than twice as many.
const maximumDatabaseCount = 20_000;

function name(description: string) {
	return z.string().regex(namePattern).meta({description, allowed: 'lower-case letters, digits and hyphens, at most 48, beginning with a letter'});
}

function wholeNumber(description: string, least: number, most: number) {
	return z.number().int().min(least).max(most).meta({description, allowed: `whole number from ${least} to ${most}`});
}

function duration(description: string, least: string, most: string) {
	const isWithinRange = (text: string): boolean => {
		const milliseconds = parseDuration(text);
		return milliseconds !== undefined && milliseconds >= parseDuration(least)! && milliseconds <= parseDuration(most)!;
	};

	return z.string().refine(isWithinRange).transform(text => parseDuration(text)!).meta({description, allowed: `duration with a unit (ms, s, m or h) from ${least} to ${most}`});
}

const overridableServiceSettings = {
	slots: wholeNumber('Statements that one member executes at a time.', 1, maximumSlots),
	connections: wholeNumber('Connections that one member accepts in all.', 2, maximumConnections),
	connectTime: duration('Usual time to open a connection to a member.', '0ms', '10s'),
};

const limits = {
	queueLength: wholeNumber('Requests of one access that may wait for one database.', 0, 1_000_000),
	requestDeadline: duration('Time that a request may wait before it is sent.', '10ms', '10m'),
	statementTimeout: duration('Time that a statement may take.', '10ms', '24h'),
	replicaWait: duration('Time that a read waits for a fresh replica before it goes to the primary.', '0ms', '10s'),
	requestIdRetention: duration('Time for which outcomes of request ids are kept.', '1m', '8760h'),
	callersPerEntry: wholeNumber('Callers that one entry accepts.', 1, 1_000_000),
	drainTime: duration('Time for open transactions on shutdown.', '0ms', '1h'),
};

const timeouts = {
	heartbeat: duration('Period of the status requests to each member.', '10ms', '10s'),
	silence: duration('A member that sent nothing for this time is checked by a fresh connection; longer than heartbeat.', '20ms', '60s'),
	freshConnection: duration('Time within which the fresh connection must be answered.', '10ms', '10s'),
	lease: duration('Duration of a pool\'s lease of a member; longer than heartbeat.', '50ms', '60s'),
	promotionStagger: duration('Time by which each further pool in ownership order waits longer before it coordinates a promotion.', '10ms', '60s'),
};

const place = z.strictObject({
	name: name('Name of the data centre.'),
	region: name('Region of the data centre.'),
}).meta({allowed: 'keys name and region'});

const service = z.strictObject({
	name: name('Name of the service; its databases are named after it with -1, -2 and so on.'),
	databases: wholeNumber('Number of databases.', 1, maximumDatabaseCount),
	members: wholeNumber('Members of each database group.', 1, 9),
	...overridableServiceSettings,
	places: z.array(name('Name of a place.')).min(1).optional().meta({
		description: 'Preferred places of the databases, assigned in turn: the first database gets the first place, and so on from the start again. Without it, all places in the order of the file.',
		allowed: 'list of at least one name under places',
	}),
}).meta({allowed: 'keys of a service'});

/** Schema of the base file, which describes the whole deployment. */
export const baseSchema = z.strictObject({
	deployment: name('Name of the deployment.'),
	places: z.array(place).min(1).meta({description: 'Data centres of the deployment.', allowed: 'list of at least one place'}),
	services: z.array(service).min(1).meta({description: 'Services with their database groups.', allowed: 'list of at least one service'}),
	limits: z.strictObject({
		queueLength: limits.queueLength.prefault(1000),
		requestDeadline: limits.requestDeadline.prefault('5s'),
		statementTimeout: limits.statementTimeout.prefault('30s'),
		replicaWait: limits.replicaWait.prefault('50ms'),
		requestIdRetention: limits.requestIdRetention.prefault('24h'),
		callersPerEntry: limits.callersPerEntry.prefault(12_000),
		drainTime: limits.drainTime.prefault('30s'),
	}).prefault({}).meta({description: 'Limits on requests.', allowed: 'keys of the limits'}),
	timeouts: z.strictObject({
		heartbeat: timeouts.heartbeat.prefault('200ms'),
		silence: timeouts.silence.prefault('600ms'),
		freshConnection: timeouts.freshConnection.prefault('400ms'),
		lease: timeouts.lease.prefault('1s'),
		promotionStagger: timeouts.promotionStagger.prefault('500ms'),
	}).prefault({}).meta({description: 'Timing of failure detection.', allowed: 'keys of the timeouts'}),
}).meta({allowed: 'the keys deployment, places, services, limits and timeouts'});

const serviceOverride = z.strictObject({
	name: name('Name of a service of the base file.'),
	...overridableServiceSettings,
}).partial().required({name: true}).meta({allowed: 'keys of a service that may differ'});

/** Schema of an overlay file, which overrides settings for one data centre. Settings that must be equal everywhere are not part of it. */
export const overlaySchema = z.strictObject({
	site: name('Place to which the overlay applies; the file has the same name.'),
	services: z.array(serviceOverride).optional().meta({description: 'Services whose sizes differ at the site.', allowed: 'list of services of the base file'}),
	limits: z.strictObject(limits).partial().optional().meta({description: 'Limits that differ at the site.', allowed: 'keys of the limits'}),
	timeouts: z.strictObject(timeouts).partial().optional().meta({description: 'Timing that differs at the site.', allowed: 'keys of the timeouts'}),
}).meta({allowed: 'the keys site, services, limits and timeouts'});

/** Validated content of the base file. */
export type BaseFile = z.output<typeof baseSchema>;

/** Validated content of an overlay file. */
export type OverlayFile = z.output<typeof overlaySchema>;
