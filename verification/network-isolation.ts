import dgram from 'node:dgram';
import {Socket} from 'node:net';
import process from 'node:process';

/**
Fault injection for `node --import`: SIGUSR2 isolates the process from the network, and a second SIGUSR2 ends the isolation.

Connections stay open but drop all bytes in both directions. A connection that has dropped bytes stays stalled after the isolation, since its stream would have a gap.
*/
let isIsolated = false;
const stalledSockets = new WeakSet<Socket>();

process.on('SIGUSR2', () => {
	isIsolated = !isIsolated;
});

function dropsBytes(socket: Socket): boolean {
	if (isIsolated && socket.remoteAddress !== undefined) {
		stalledSockets.add(socket);
	}

	return stalledSockets.has(socket);
}

const {push, write} = Socket.prototype;
Socket.prototype.push = function (this: Socket, chunk: unknown, encoding?: BufferEncoding): boolean {
	return dropsBytes(this) ? true : push.call(this, chunk, encoding);
};

Socket.prototype.write = function (this: Socket, ...parameters: Parameters<typeof write>): boolean {
	return dropsBytes(this) ? true : write.apply(this, parameters);
} as typeof write;

const {send} = dgram.Socket.prototype;
dgram.Socket.prototype.send = function (this: dgram.Socket, ...parameters: Parameters<typeof send>): void {
	if (!isIsolated) {
		send.apply(this, parameters);
	}
} as typeof send;

const {emit} = dgram.Socket.prototype;
dgram.Socket.prototype.emit = function (this: dgram.Socket, ...parameters: Parameters<typeof emit>): boolean {
	return isIsolated && String(parameters[0]) === 'message' ? true : emit.apply(this, parameters);
} as typeof emit;
