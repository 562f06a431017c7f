import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {type Customer} from '../customers/types.js';
import {type Address} from '../links/address.js';
import {LinkClient, type RequestHandler} from '../links/link-client.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {defaultRateLimitSettings} from '../rate-limit/limit-arithmetic.js';
import {LimitObserver} from '../rate-limit/limit-observer.js';
import {OperationLimiter} from '../rate-limit/operation-limiter.js';
import {type WatchRequest, type WatchResponse} from './messages.js';
import {RoutingWatcher} from './routing-watcher.js';
import {UsageExchange} from './usage-exchange.js';

const limited: Customer = {
	name: 'acme', keyDigests: [], priority: 1, rateLimit: {ratePerSecond: 20, burst: 0},
};

class SilentObserver extends LimitObserver {
	override operationAdmitted(): void {
		// Nothing is counted here.
	}

	override operationRefused(): void {
		// Nothing is counted here.
	}

	override operationsRequested(): void {
		// Nothing is counted here.
	}

	override operationsGranted(): void {
		// Nothing is counted here.
	}
}

/** Delivers requests to one set of handlers and records them. */
class RecordingLink extends LinkClient {
	readonly handlers = new Map<string, RequestHandler>();
	readonly requests: Array<readonly [name: string, body: unknown]> = [];

	override async request(_address: Address, name: string, body: unknown): Promise<unknown> {
		this.requests.push([name, body]);
		return this.handlers.get(name)!(body, {linkId: 0});
	}

	override notify(): void {
		throw new Error('No notice is sent here.');
	}

	handle(name: string, handler: RequestHandler): void {
		this.handlers.set(name, handler);
	}
}

/** A routing watcher with a limiter, and the usage exchange of the control instance that it watches. */
class MessagesFixture {
	readonly clock = new ManualClock();
	readonly link = new RecordingLink();
	readonly peerLink = new RecordingLink();
	readonly responses: WatchResponse[] = [];
	readonly exchange: UsageExchange;
	readonly limiter: OperationLimiter;
	readonly #watcher: RoutingWatcher;

	constructor() {
		const {clock, link} = this;
		this.exchange = new UsageExchange({
			name: 'control',
			runId: 'control-run',
			clock,
			linkClient: this.peerLink,
			linkServer: link,
			logger: silentLogger,
			controls: {records: [{name: 'control', address: 'control:1'}, {name: 'peer', address: 'peer:1'}]},
			entryCount: () => 2,
		});
		this.peerLink.handle('shareUsage', async () => {
			throw new Error('The peer is down.');
		});
		link.handle('watch', async body => this.#answer(body as WatchRequest));
		this.limiter = new OperationLimiter({
			name: 'entry',
			runId: 'entry-run',
			clock,
			settings: defaultRateLimitSettings,
			observer: new SilentObserver(),
			requestOperations: async request => this.#watcher.requestOperations(request),
		});
		this.#watcher = new RoutingWatcher({
			self: {name: 'entry', address: 'entry:1', dataCentre: 'here'},
			region: 'region',
			clock,
			random: new SeededRandom(1),
			logger: silentLogger,
			linkClient: link,
			directory: new BackendDirectory(clock),
			seeds: () => ['control:1'],
			reachability: () => [],
			operationLimiter: this.limiter,
			onRoutingTable() {
				// No table is sent here.
			},
			onPrimaryReports() {
				// No service is watched here.
			},
		});
		this.exchange.start();
		this.#watcher.start();
	}

	replaceCustomers(customers: readonly Customer[] | undefined): void {
		this.exchange.replaceCustomers(customers);
		this.limiter.replaceCustomers(customers);
	}

	async run(duration: Milliseconds): Promise<void> {
		await this.clock.advanceInSteps(duration, 5);
	}

	#answer(request: WatchRequest): WatchResponse {
		const response: WatchResponse = {
			controls: undefined,
			controlsDigest: '',
			leaderSilence: 0,
			routing: undefined,
			newestRouting: undefined,
			directoryId: 'directory',
			directoryVersion: 0,
			changedServers: [],
			silentServers: [],
			primaries: [],
			entries: undefined,
			entryCount: 2,
			entryDataCentres: 1,
			knowsEntries: true,
			...this.exchange.answerReport(request.usage),
		};
		this.responses.push(response);
		return response;
	}
}

// Guards against traffic, or messages that earlier builds do not expect, in deployments that limit nobody.
test('without customers with a limit, messages have no usage and none is added', async () => {
	for (const customers of [undefined, [], [{...limited, rateLimit: undefined}]]) {
		const fixture = new MessagesFixture();
		fixture.replaceCustomers(customers);
		await fixture.run(2000);
		assert.ok(fixture.link.requests.length > 4);
		assert.ok(fixture.link.requests.every(([name, body]) => name === 'watch' && !Object.hasOwn(body as WatchRequest, 'usage')));
		assert.ok(fixture.responses.every(response => !Object.hasOwn(response, 'usage')));
		assert.deepEqual(fixture.peerLink.requests, []);
	}
});

test('usage is reported with watch requests, and operations are requested from the control instance that answered', async () => {
	const fixture = new MessagesFixture();
	fixture.replaceCustomers([limited]);
	await fixture.run(2000);
	assert.ok(fixture.peerLink.requests.every(([name]) => name === 'shareUsage'));
	const admission = fixture.limiter.admitOperation(limited);
	await fixture.run(500);
	assert.deepEqual(await admission, {admitted: true});
	assert.equal(fixture.link.requests.filter(([name]) => name === 'requestOperations').length, 1);
	const reports = fixture.link.requests.flatMap(([, body]) => (body as WatchRequest).usage ?? []);
	assert.deepEqual(reports.map(({isComplete}) => isComplete).slice(0, 3), [true, false, false]);
	assert.ok(reports.some(({counts}) => counts.some(([name, used]) => name === 'acme' && used === 1)));
	fixture.replaceCustomers(undefined);
	const before = fixture.peerLink.requests.length;
	await fixture.run(1000);
	assert.equal(fixture.peerLink.requests.length, before, 'sums are shared only while some customer has a limit');
});
