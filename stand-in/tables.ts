import {type Expr} from 'pgsql-ast-parser';
import {SqlError} from './sql-error.js';

/** Value of a column. */
export type Value = number | string | null;

/** Values of a row by column name. */
export type Row = Readonly<Record<string, Value>>;

/** Column of a table. */
export type Column = {readonly name: string; readonly type: 'int4' | 'int8' | 'text'; readonly defaultValue?: Expr};

/** Schema of a table. `key` lists the columns of the primary key and is empty if there is none. */
export type TableSchema = {readonly name: string; readonly columns: readonly Column[]; readonly key: readonly string[]};

/** One change in a log entry. A null row deletes the row of the key. */
export type Change =
	| {readonly kind: 'create'; readonly shape: TableSchema}
	| {readonly kind: 'put'; readonly table: string; readonly key: string; readonly row: Row | null};

type Table = {readonly schema: TableSchema; readonly rows: Map<string, Row | null>};

/** Committed tables of a member and the row locks of open transactions. */
export class Tables {
	readonly #tables = new Map<string, Table>();
	readonly #lockHolders = new Map<string, Transaction>();

	/** Removes all tables. */
	clear(): void {
		this.#tables.clear();
	}

	apply(changes: readonly Change[]): void {
		for (const change of changes) {
			if (change.kind === 'create') {
				this.#tables.set(change.shape.name, {schema: change.shape, rows: new Map()});
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

	/** Locks a row or table for a transaction. Throws 40001 if another transaction holds the lock. */
	lock(lockName: string, transaction: Transaction): void {
		const holder = this.#lockHolders.get(lockName);
		if (holder && holder !== transaction) {
			throw new SqlError('40001', 'another transaction has changed the row');
		}

		this.#lockHolders.set(lockName, transaction);
	}

	unlock(lockNames: Iterable<string>, transaction: Transaction): void {
		for (const name of lockNames) {
			if (this.#lockHolders.get(name) === transaction) {
				this.#lockHolders.delete(name);
			}
		}
	}
}

/** One transaction: its uncommitted changes on top of the committed tables. */
export class Transaction {
	readonly #createdTables = new Map<string, TableSchema>();
	readonly #writtenRows = new Map<string, Map<string, Row | null>>();
	readonly #lockNames = new Set<string>();

	/** `primaryTerm` is the term of the primary at the start of the transaction, or null on a replica. */
	constructor(private readonly tables: Tables, readonly primaryTerm: number | null) {}

	/** Returns the schema of a table, or undefined if the table does not exist. */
	findSchema(name: string): TableSchema | undefined {
		return this.#createdTables.get(name) ?? this.tables.get(name)?.schema;
	}

	/** Returns the schema of a table. Throws 42P01 if the table does not exist. */
	schema(name: string): TableSchema {
		const schema = this.findSchema(name);
		if (!schema) {
			throw new SqlError('42P01', `relation "${name}" does not exist`);
		}

		return schema;
	}

	row(table: string, key: string): Row | undefined {
		const written = this.#writtenRows.get(table)?.get(key);
		return (written === undefined ? this.tables.get(table)?.rows.get(key) : written) ?? undefined;
	}

	* rows(table: string): Generator<readonly [string, Row]> {
		const written = this.#writtenRows.get(table);
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

	create(schema: TableSchema): void {
		this.tables.lock(schema.name, this);
		this.#lockNames.add(schema.name);
		this.#createdTables.set(schema.name, schema);
	}

	/** Locks a row until the transaction ends. Throws 40001 if another transaction holds the lock. */
	lockRow(table: string, key: string): void {
		const lockName = `${table} ${key}`;
		this.tables.lock(lockName, this);
		this.#lockNames.add(lockName);
	}

	/** Writes a row, or deletes it if null is given. Throws 40001 if another transaction holds the lock of the row. */
	put(table: string, key: string, row: Row | null): void {
		this.lockRow(table, key);
		const written = this.#writtenRows.get(table) ?? new Map<string, Row | null>();
		written.set(key, row);
		this.#writtenRows.set(table, written);
	}

	/** Returns all changes of the transaction, to be committed as one log entry. */
	changes(): readonly Change[] {
		const created = [...this.#createdTables.values()].map(shape => ({kind: 'create', shape}) as const);
		const written = [...this.#writtenRows].flatMap(([table, rows]) => [...rows].map(([key, row]) => ({
			kind: 'put', table, key, row,
		}) as const));
		return [...created, ...written];
	}

	/** Releases all row and table locks of the transaction. */
	releaseLocks(): void {
		this.tables.unlock(this.#lockNames, this);
	}
}
