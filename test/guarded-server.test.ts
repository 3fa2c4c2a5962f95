/** A guarded server on a real socket. */
import { once } from 'node:events';
import type { Server, ServerResponse } from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { createGuardedServer } from '../src/proxy/guarded-server.js';
import { waitUntil } from './helpers/fleet.js';
import { protection } from './helpers/protection.js';

const MANY_FIELDS = `GET /held HTTP/1.1\r\nHost: a\r\n${'b:c\r\n'.repeat(400)}\r\n`;
const REQUEST = 'GET /held HTTP/1.1\r\nHost: a\r\n\r\n';

describe('a guarded server', () => {
  let server: Server;
  let held: ServerResponse[];
  let isAnswering: boolean;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    held = [];
    isAnswering = false;
    server = createGuardedServer({
      ...{ name: 'metrics' as const, protection },
      handle: (_, response) => {
        if (isAnswering) response.end('ok');
        else held.push(response);
      },
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });
  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  const connect = () => {
    const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    const received = { text: '' };
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => {
      received.text += data.toString('latin1');
    });
    return { socket, received };
  };
  const countAnswers = (text: string) => text.split('HTTP/1.1 200').length - 1;

  it('makes the answers of one connection one after the other', async () => {
    const { socket, received } = connect();
    socket.write(REQUEST.repeat(200));
    await waitUntil(() => held.length > 0, 'the first request');
    expect(held.length).to.equal(1);
    isAnswering = true;
    held[0]?.end('ok');
    await waitUntil(() => countAnswers(received.text) === 200, 'all answers');
  });
  // Responses behind the first on a connection get no event when it is closed.
  it('serves requests with many fields again after connections with many of them were closed', async () => {
    for (let index = 0; index < 4; index += 1) {
      const { socket } = connect();
      socket.write(MANY_FIELDS.repeat(5));
      await waitUntil(() => held.length > index, 'a request');
      socket.destroy();
    }
    isAnswering = true;
    const { socket, received } = connect();
    socket.write(MANY_FIELDS);
    await waitUntil(() => received.text.includes('HTTP/1.1'), 'an answer');
    expect(received.text).to.match(/^HTTP\/1\.1 200/);
  });
  it('reads on after a client has left answers unread for a while', async () => {
    const { socket, received } = connect();
    isAnswering = true;
    socket.pause();
    for (let index = 0; index < 50; index += 1) socket.write(REQUEST.repeat(200));
    await waitUntil(() => socket.writableLength === 0, 'the requests to be sent');
    socket.resume();
    await waitUntil(() => countAnswers(received.text) === 10_000, 'all answers');
  });
});
