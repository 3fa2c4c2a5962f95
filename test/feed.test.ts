import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { ManualClock } from '../src/kernel/index.js';
import { FeedClient, serveFeed } from '../src/peering/index.js';
import { protection } from './helpers/protection.js';

const REQUEST = { position: { targets: 1, configuration: 1, evacuations: 0 }, members: 0 };

describe('fetching changes from another daemon', () => {
  const servers: http.Server[] = [];
  let port = 0;
  afterEach(() => {
    for (const server of servers.splice(0)) {
      server.closeAllConnections();
      server.close();
    }
  });

  /**
   * Starts a daemon's feed on an address of its own; a silent one accepts requests and never
   * responds.
   */
  async function startFeed(host: string, isSilent: boolean): Promise<void> {
    const server = http.createServer((_request, response) => {
      const left = [{ incarnation: host, revision: 2 }];
      const delta = {
        position: { targets: 2, configuration: 1, evacuations: 0 },
        isWhole: false,
        targets: [],
        left,
      };
      if (!isSilent) response.end(JSON.stringify({ delta, members: [] }));
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(port, host, resolve);
    });
    port = (server.address() as AddressInfo).port;
  }

  // A daemon that waits only for a frozen one acts late on removed targets and on new
  // configurations.
  it('asks a second daemon at once, because the first may be frozen', async () => {
    port = 0;
    await startFeed('127.0.8.1', true);
    await startFeed('127.0.8.2', false);
    const received: unknown[] = [];
    const client = new FeedClient(new ManualClock(), port, ({ delta }) =>
      received.push(...delta.left.map(({ incarnation }) => incarnation)),
    );
    const silent = client.fetchChanges('127.0.8.1', REQUEST);
    const startedAt = performance.now();
    expect(await client.fetchChanges('127.0.8.2', REQUEST)).to.equal(true);
    expect(performance.now() - startedAt).to.be.lessThan(400);
    expect(received).to.deep.equal(['127.0.8.2']);
    expect(await client.fetchChanges('127.0.8.1', REQUEST)).to.equal(false);
    client.close();
    await silent;
  });

  it('compresses long responses and sends short ones uncompressed', async () => {
    const address = { host: '127.0.8.3', port: 18_399 };
    const makeLeft = (count: number) =>
      Array.from({ length: count }, (_, index) => ({ incarnation: `i-${index}`, revision: 2 }));
    const received: unknown[] = [];
    const clock = new ManualClock();
    for (const count of [2, 500]) {
      const server = await serveFeed(address, protection, () => ({
        ...{ members: [] },
        delta: {
          position: { targets: 2, configuration: 1, evacuations: 0 },
          ...{ isWhole: false, targets: [], left: makeLeft(count) },
        },
      }));
      servers.push(server);
      const client = new FeedClient(clock, address.port, ({ delta }) => received.push(delta.left));
      expect(await client.fetchChanges(address.host, REQUEST)).to.equal(true);
      const bytes = await new Promise<number>((resolve) => {
        http.get({ ...address, path: '/feed?targets=1', agent: false }, (response) => {
          response.resume();
          resolve(Number(response.headers['content-length']));
        });
      });
      expect(bytes).to.be.lessThan(4000);
      client.close();
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    }
    expect(received).to.deep.equal([makeLeft(2), makeLeft(500)]);
  });
  // Hundreds of daemons that start together each fetch the list of hundreds of targets.
  it('fetches the whole list from one daemon at a time, and soon asks another if that one is silent', async () => {
    port = 0;
    await startFeed('127.0.8.1', true);
    await startFeed('127.0.8.2', false);
    const first = { ...REQUEST, position: { targets: 0, configuration: 0, evacuations: 0 } };
    const clock = new ManualClock();
    const client = new FeedClient(clock, port, () => undefined);
    const silent = client.fetchChanges('127.0.8.1', first);
    expect(await client.fetchChanges('127.0.8.2', first)).to.equal(false);
    await clock.advance(160);
    expect(await client.fetchChanges('127.0.8.2', first)).to.equal(true);
    client.close();
    await silent;
  });
});
