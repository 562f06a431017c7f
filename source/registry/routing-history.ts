import {type Buffer} from 'node:buffer';
import {
	emptyDigest, routeKey, routeText, routingDifference, routingDigest, sortRoutes, type RoutingTableVersion,
} from '../routing-table/routing-difference.js';
import {type RoutingTable} from '../routing-table/types.js';
import {
	encodeDifference, maximumPieceBytes, type DifferenceEncoding, type RoutingPiece, type RoutingPieceRequest,
} from './routing-transfer.js';

/** Number of tables for which differences are computed; an entry that holds an older one gets the whole table. Routes that are equal are shared between the tables. */
const maximumTables = 64;

/** Number of encoded differences that are kept for the entries that fetch the same one. */
const maximumTransfers = 64;

type Transfer = {
	readonly base: string;
	readonly target: RoutingTableVersion;
	readonly bytes: Buffer;
};

/** The latest routing tables of a control instance, from which entries fetch differences in pieces. */
export class RoutingHistory {
	/** Tables by digest, oldest first. */
	readonly #tables = new Map<string, RoutingTable>();
	readonly #transfers = new Map<string, Transfer>();
	#newest: RoutingTableVersion | undefined;

	/** Version of the newest table; undefined before the first one. */
	get newest(): RoutingTableVersion | undefined {
		return this.#newest;
	}

	/** Adds a newer table. */
	add(table: RoutingTable): void {
		const known = new Map(this.#newestTable()?.routes.map(route => [routeKey(route), route]));
		const routes = table.routes.map(route => {
			const knownRoute = known.get(routeKey(route));
			return knownRoute && routeText(knownRoute) === routeText(route) ? knownRoute : route;
		});
		const stored = {...table, routes: sortRoutes(routes)};
		this.#newest = {version: table.version, digest: routingDigest(stored)};
		this.#tables.set(this.#newest.digest, stored);
		deleteOldest(this.#tables, maximumTables);
	}

	/** Returns a piece of the requested difference; the first piece of another one when a table of the request is not known; undefined before the first table. */
	piece(request: RoutingPieceRequest): RoutingPiece | undefined {
		const transfer = this.#transferFor(request);
		if (!transfer) {
			return undefined;
		}

		const {base, target, bytes} = transfer;
		const offset = base === request.base && target.digest === request.target ? request.offset : 0;
		return {
			base, target, offset, length: bytes.length, bytes: bytes.subarray(offset, offset + maximumPieceBytes),
		};
	}

	#newestTable(): RoutingTable | undefined {
		return this.#newest && this.#tables.get(this.#newest.digest);
	}

	#transferFor({base, target, readsJson}: RoutingPieceRequest): Transfer | undefined {
		const targetDigest = this.#tables.has(target) ? target : this.#newest?.digest;
		const targetTable = targetDigest === undefined ? undefined : this.#tables.get(targetDigest);
		if (targetDigest === undefined || !targetTable) {
			return undefined;
		}

		const encoding = readsJson ? 'json' : 'cbor';
		const key = `${encoding}:${base}:${targetDigest}`;
		let transfer = this.#transfers.get(key);
		if (!transfer) {
			transfer = this.#createTransfer(base, {version: targetTable.version, digest: targetDigest}, targetTable, encoding);
			this.#transfers.set(key, transfer);
			deleteOldest(this.#transfers, maximumTransfers);
		}

		return transfer;
	}

	#createTransfer(requestedBase: string, target: RoutingTableVersion, table: RoutingTable, encoding: DifferenceEncoding): Transfer {
		const base = this.#tables.get(requestedBase);
		return {base: base ? requestedBase : emptyDigest, target, bytes: encodeDifference(routingDifference(base, table), encoding)};
	}
}

/** Deletes the entries that were added first, down to the limit. */
function deleteOldest(map: Map<string, unknown>, limit: number): void {
	for (const key of map.keys()) {
		if (map.size <= limit) {
			return;
		}

		map.delete(key);
	}
}
