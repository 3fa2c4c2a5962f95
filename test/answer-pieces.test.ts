/** What is charged for an answer whose body arrives in very short pieces, each by itself. */
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { setImmediate as yieldToLoop } from 'node:timers/promises';
import { expect } from 'chai';
import { readAnswer } from '../src/gateway/requests/answer-reader.js';
import { SocketEndWatch, createSystemClock } from '../src/kernel/index.js';
import { createAnswerGuard } from '../src/overload/index.js';

/** What all answers may hold, in bytes: many times the bytes of the body, and few of its pieces. */
const HELD_BYTES = 500_000;
const MAX_PIECES = 5000;

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n';

describe('an answer whose body arrives byte by byte', () => {
  // Guards against counting only the bytes of pieces that take many times as much memory.
  it('is given up when its pieces hold too much', async () => {
    const guard = createAnswerGuard(createSystemClock(), HELD_BYTES);
    let taken = 0;
    let isClosed = false;
    const server = net.createServer((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        isClosed = true;
      });
      const send = async () => {
        socket.write(HEAD);
        for (let sent = 0; sent < MAX_PIECES && !isClosed; sent += 1) {
          // The next byte leaves when the one before has been read, so that each is a piece.
          const before = taken;
          socket.write('x');
          while (taken === before && !isClosed) await yieldToLoop();
        }
        socket.destroy();
      };
      socket.once('data', () => {
        send().catch(() => socket.destroy());
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const excess = await new Promise<string>((resolve) => {
      const request = http.request({ port, host: '127.0.0.1', agent: false });
      guard.watch(request, { onExcess: (reason) => resolve(reason) });
      request.on('error', () => undefined);
      request.on('response', (response) => {
        response.on('error', () => undefined);
        const connection = new SocketEndWatch(response.socket);
        readAnswer(
          response,
          { method: 'GET', connection, isSigned: true, memory: undefined },
          { onAnswer: () => resolve('an answer'), onBroken: (fault) => resolve(fault) },
        );
        response.on('data', () => {
          taken += 1;
        });
      });
      request.end();
    });
    server.close();
    expect(excess).to.equal('too much memory is held for answers');
    expect(taken).to.be.lessThan(HELD_BYTES / 100);
    expect(guard.held).to.equal(0);
  });
});
