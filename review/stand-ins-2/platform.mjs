import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {ports} from './deployment.mjs';

/** The platform: names primaries, and checks the fencing tokens. */
export class Platform {
	calls = [];
	#highestToken = 0;
	#resolveFirstCall;
	/** Resolves when the first call arrives. */
	firstCall = new Promise(resolve => {
		this.#resolveFirstCall = resolve;
	});

	/** `lateness` returns after how many milliseconds a call is carried out that gets no answer, undefined for a call that is answered at once, and infinity for one that is never carried out. */
	constructor({record, host, service, lateness = () => undefined}) {
		Object.assign(this, {
			record, host, service, lateness,
		});
		this.server = createServer((incoming, response) => {
			const chunks = [];
			incoming.on('data', chunk => {
				chunks.push(chunk);
			});
			incoming.on('end', () => {
				this.#handle(incoming, Buffer.concat(chunks).toString('utf8'), response);
			});
			incoming.on('error', () => {});
		});
	}

	async start() {
		await new Promise(resolve => {
			this.server.listen(ports.cloud, this.host, resolve);
		});
	}

	stop() {
		this.server.closeAllConnections();
		this.server.close();
	}

	async #handle({headers}, text, response) {
		const {Id: id} = JSON.parse(text);
		const call = {id, token: Number(headers['buckthornhitch-fencing-token']), holder: headers['buckthornhitch-duty-holder']};
		this.calls.push(call);
		this.#resolveFirstCall();
		const late = this.lateness(call);
		this.record.add(`platform: ${call.holder} asks to promote ${id} with token ${call.token}${late === undefined ? '' : (late === Number.POSITIVE_INFINITY ? '; no answer' : '; no answer, carried out later')}`);
		if (late === Number.POSITIVE_INFINITY) {
			return;
		}

		if (late !== undefined) {
			await sleep(late);
		}

		const status = this.#carryOut(call);
		this.record.add(`platform: promotion of ${id} with token ${call.token}: ${status}${late === undefined ? '' : ` after ${late} ms, not answered`}`);
		if (late === undefined) {
			response.writeHead(status).end();
		}
	}

	#carryOut({id, token}) {
		const member = this.service.members.find(other => other.id === id);
		if (token < this.#highestToken || !member || member.isDark) {
			return 409;
		}

		this.#highestToken = token;
		this.service.promote(member);
		return 200;
	}
}
