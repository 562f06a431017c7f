import dgram from 'node:dgram';
import {Socket} from 'node:net';
import process from 'node:process';

/**
Fault injection for `node --import`: SIGUSR2 cuts the process off from the network, a second SIGUSR2 ends the cut.

Connections stay open and lose all bytes in both ways; one that has lost bytes stays silent after the cut.
*/
let isCut = false;
const silent = new WeakSet<Socket>();

process.on('SIGUSR2', () => {
	isCut = !isCut;
});

function losesBytes(socket: Socket): boolean {
	if (isCut && socket.remoteAddress !== undefined) {
		silent.add(socket);
	}

	return silent.has(socket);
}

const {push, write} = Socket.prototype;
Socket.prototype.push = function (this: Socket, chunk: unknown, encoding?: BufferEncoding): boolean {
	return losesBytes(this) ? true : push.call(this, chunk, encoding);
};

Socket.prototype.write = function (this: Socket, ...parameters: Parameters<typeof write>): boolean {
	return losesBytes(this) ? true : write.apply(this, parameters);
} as typeof write;

const {send} = dgram.Socket.prototype;
dgram.Socket.prototype.send = function (this: dgram.Socket, ...parameters: Parameters<typeof send>): void {
	if (!isCut) {
		send.apply(this, parameters);
	}
} as typeof send;

const {emit} = dgram.Socket.prototype;
dgram.Socket.prototype.emit = function (this: dgram.Socket, ...parameters: Parameters<typeof emit>): boolean {
	return isCut && String(parameters[0]) === 'message' ? true : emit.apply(this, parameters);
} as typeof emit;
