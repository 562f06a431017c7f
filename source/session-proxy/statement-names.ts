import {type TextLimit} from '../statement/statement-limits.js';
import {type PreparedStatementDefinition} from '../statement/types.js';

/**
Names of the prepared statements on one connection to a member.

A name consists of a letter and a number that is counted for the connection. It holds no text of a caller, since the member would read a blank in it as the end of the name.
*/
export class StatementNames {
	readonly #namesByShape: Readonly<Record<PreparedStatementDefinition['access'], Map<string, string>>> = {read: new Map(), write: new Map()};
	#totalLength = 0;
	#lastNumber = 0;

	/** Number of prepared statements. */
	get size(): number {
		return this.#namesByShape.read.size + this.#namesByShape.write.size;
	}

	/** Returns the name under which the definition is prepared; undefined if it is not prepared. */
	nameOf({access, shape}: PreparedStatementDefinition): string | undefined {
		return this.#namesByShape[access].get(shape);
	}

	/** Returns a name that no statement of the connection has had. */
	createName(): string {
		return `s${++this.#lastNumber}`;
	}

	/** Returns whether a further definition would exceed the limit. The first definition is never too long. */
	isFullFor({shape}: PreparedStatementDefinition, limit: TextLimit): boolean {
		return this.size > 0 && (this.size >= limit.count || this.#totalLength + shape.length > limit.length);
	}

	/** Records that the definition is prepared under the name. */
	add(name: string, {access, shape}: PreparedStatementDefinition): void {
		this.#namesByShape[access].set(shape, name);
		this.#totalLength += shape.length;
	}

	/** Records that no statement is prepared under the name. */
	remove(name: string): void {
		for (const names of Object.values(this.#namesByShape)) {
			for (const [shape, known] of names) {
				if (known === name) {
					names.delete(shape);
					this.#totalLength -= shape.length;
				}
			}
		}
	}

	/** Records that no statement is prepared any more. */
	clear(): void {
		this.#namesByShape.read.clear();
		this.#namesByShape.write.clear();
		this.#totalLength = 0;
	}
}
