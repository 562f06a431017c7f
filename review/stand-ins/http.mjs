/* eslint no-await-in-loop: off, no-void: off -- Statements and attempts run one after the other, and some work runs beside the caller. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/** Sends an HTTP request; resolves with status and body, or with status 0 without an answer within a second. */
export async function sendHttp(address, method, path, body) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const outgoing = request({
			host, port: Number(port), method, path, timeout: 1000, agent: false, headers: {'content-type': 'application/json', ...(body && {'content-length': Buffer.byteLength(body)})},
		}, response => {
			let received = '';
			response.on('data', chunk => {
				received += String(chunk);
			});
			response.on('error', () => {
				resolve({status: 0, body: ''});
			});
			response.on('end', () => {
				resolve({status: response.statusCode, body: received});
			});
		});
		outgoing.on('timeout', () => {
			outgoing.destroy();
		});
		outgoing.on('error', () => {
			resolve({status: 0, body: ''});
		});
		outgoing.end(body);
	});
}
