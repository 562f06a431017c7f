import {type Expr} from 'pgsql-ast-parser';
import {SqlError} from './sql-error.js';

/** Value of a column. */
export type Value = number | string | null;

/** Values of a row by column name. */
export type Row = Readonly<Record<string, Value>>;

/** Column of a table. */
export type Column = {readonly name: string; readonly type: 'int4' | 'int8' | 'text'; readonly defaultValue?: Expr};

/** Table with the columns of its primary key, which may be none. */
export type TableShape = {readonly name: string; readonly columns: readonly Column[]; readonly key: readonly string[]};

/** One step of a log entry. A row of null removes the key. */
export type Change =
	| {readonly kind: 'create'; readonly shape: TableShape}
	| {readonly kind: 'put'; readonly table: string; readonly key: string; readonly row: Row | null};

type Table = {readonly shape: TableShape; readonly rows: Map<string, Row | null>};

/** Committed tables of a member and the rows that open transactions have changed. */
export class Tables {
	readonly #tables = new Map<string, Table>();
	readonly #owners = new Map<string, Transaction>();

	/** Removes all tables. */
	clear(): void {
		this.#tables.clear();
	}

	apply(changes: readonly Change[]): void {
		for (const change of changes) {
			if (change.kind === 'create') {
				this.#tables.set(change.shape.name, {shape: change.shape, rows: new Map()});
			} else if (change.row) {
				this.#tables.get(change.table)?.rows.set(change.key, change.row);
			} else {
				this.#tables.get(change.table)?.rows.delete(change.key);
			}
		}
	}

	get(name: string): Table | undefined {
		return this.#tables.get(name);
	}

	/** Makes the transaction the only one that may change the row until it ends. Throws 40001. */
	own(rowName: string, transaction: Transaction): void {
		const owner = this.#owners.get(rowName);
		if (owner && owner !== transaction) {
			throw new SqlError('40001', 'another transaction has changed the row');
		}

		this.#owners.set(rowName, transaction);
	}

	disown(rowNames: Iterable<string>, transaction: Transaction): void {
		for (const name of rowNames) {
			if (this.#owners.get(name) === transaction) {
				this.#owners.delete(name);
			}
		}
	}
}

/** Changes of one transaction over the committed tables. */
export class Transaction {
	readonly #created = new Map<string, TableShape>();
	readonly #written = new Map<string, Map<string, Row | null>>();
	readonly #owned = new Set<string>();

	/** The term is that of the primary when the transaction began; null on a replica. */
	constructor(private readonly tables: Tables, readonly term: number | null) {}

	/** Returns the shape of a table that exists. */
	findShape(name: string): TableShape | undefined {
		return this.#created.get(name) ?? this.tables.get(name)?.shape;
	}

	/** Returns the shape of a table. Throws 42P01. */
	shape(name: string): TableShape {
		const shape = this.findShape(name);
		if (!shape) {
			throw new SqlError('42P01', `relation "${name}" does not exist`);
		}

		return shape;
	}

	row(table: string, key: string): Row | undefined {
		const written = this.#written.get(table)?.get(key);
		return (written === undefined ? this.tables.get(table)?.rows.get(key) : written) ?? undefined;
	}

	* rows(table: string): Generator<readonly [string, Row]> {
		const written = this.#written.get(table);
		for (const [key, row] of this.tables.get(table)?.rows ?? []) {
			if (row && !written?.has(key)) {
				yield [key, row];
			}
		}

		for (const [key, row] of written ?? []) {
			if (row) {
				yield [key, row];
			}
		}
	}

	create(shape: TableShape): void {
		this.tables.own(shape.name, this);
		this.#owned.add(shape.name);
		this.#created.set(shape.name, shape);
	}

	/** Claims a row until the transaction ends. Throws 40001. */
	own(table: string, key: string): void {
		const rowName = `${table} ${key}`;
		this.tables.own(rowName, this);
		this.#owned.add(rowName);
	}

	/** Writes a row, or removes it with null. Throws 40001. */
	put(table: string, key: string, row: Row | null): void {
		this.own(table, key);
		const written = this.#written.get(table) ?? new Map<string, Row | null>();
		written.set(key, row);
		this.#written.set(table, written);
	}

	/** Returns all changes as the body of one log entry. */
	changes(): readonly Change[] {
		const created = [...this.#created.values()].map(shape => ({kind: 'create', shape}) as const);
		const written = [...this.#written].flatMap(([table, rows]) => [...rows].map(([key, row]) => ({
			kind: 'put', table, key, row,
		}) as const));
		return [...created, ...written];
	}

	/** Gives up the rows. */
	end(): void {
		this.tables.disown(this.#owned, this);
	}
}
