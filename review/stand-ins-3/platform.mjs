import {createServer} from 'node:http';

/** Time from a call for a promotion until the member leads, in milliseconds. */
const promotionTime = 600;

/** The platform's endpoint for promotions. It checks the fencing token when a call is carried out. */
export class Platform {
	/** Time after which calls are carried out without an answer, in milliseconds; 0 answers them at once. */
	lateness = 0;
	#group;
	#record;
	#highestToken = 0;
	#listeners = [];

	constructor(group, record) {
		this.#group = group;
		this.#record = record;
	}

	listen({memberHost, ports}) {
		createServer((incoming, response) => {
			const chunks = [];
			incoming.on('data', chunk => {
				chunks.push(chunk);
			});
			incoming.on('end', () => {
				const {Id: id} = JSON.parse(chunks.join(''));
				this.#handle(id, Number(incoming.headers['buckthornhitch-fencing-token']), response);
			});
		}).listen(ports.promotion, memberHost);
	}

	/** Resolves with the named member when the next call arrives. */
	async nextCall() {
		return new Promise(resolve => {
			this.#listeners.push(resolve);
		});
	}

	#handle(id, token, response) {
		for (const resolve of this.#listeners.splice(0)) {
			resolve(id);
		}

		if (this.lateness === 0) {
			const status = this.#carryOut(id, token);
			this.#record.note(`the platform answers a call for ${id} with token ${token}: ${status}`);
			response.writeHead(status).end();
			return;
		}

		this.#record.note(`the platform leaves a call for ${id} with token ${token} unanswered, and carries it out ${this.lateness} ms later`);
		setTimeout(() => {
			this.#record.note(`the platform carries out the late call for ${id} with token ${token}: ${this.#carryOut(id, token)}`);
		}, this.lateness);
	}

	#carryOut(id, token) {
		const member = this.#group.members.find(other => other.id === id);
		if (token < this.#highestToken || !member?.isUp) {
			return 409;
		}

		this.#highestToken = token;
		if (member !== this.#group.primary && this.promoting !== member) {
			this.promoting = member;
			setTimeout(() => {
				this.promoting = undefined;
				this.#group.promote(member);
			}, promotionTime);
		}

		return 200;
	}
}
