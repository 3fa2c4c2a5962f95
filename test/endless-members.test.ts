/** Other daemons, real or not, of which there is no end. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { ManualClock } from '../src/kernel/index.js';
import { FeedClient } from '../src/peering/index.js';
import { parseFeedResponse } from '../src/peering/feed.js';
import { PollerTable } from '../src/peering/poller-table.js';
import { Roster } from '../src/peering/roster.js';

const MAX_KEPT = 10_000;
const NAMED = 100_000;

function formatIp(index: number): string {
  return `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}`;
}

function makeMember(ip: string) {
  return { ip, domain: 'd1', capacity: 1, isSenior: false };
}

const DELTA = {
  position: { targets: 2, configuration: 1, evacuations: 0 },
  ...{ isWhole: false, targets: [], left: [] },
};

describe('daemons without end', () => {
  // Guards against a daemon that keeps whoever it is told of, for ever.
  it('are kept as far as there is room, and known ones stay', () => {
    let full = 0;
    const roster = new Roster({
      ...{ clock: new ManualClock(), self: makeMember('127.0.0.1') },
      ...{ readSelfState: () => 'ready' as const, minHomes: 1, minHomeCapacity: 1 },
      onFull: () => {
        full += 1;
      },
    });
    for (let index = 0; index < NAMED; index += 1) roster.addMember(makeMember(formatIp(index)));
    expect(roster.size).to.equal(MAX_KEPT);
    expect(full).to.equal(1);
    expect(roster.list()[1].ip).to.equal(formatIp(0));
    const status = { state: 'ready' as const, utilisation: 0, pollers: 1 };
    roster.recordStatus({ ...makeMember(formatIp(0)), domain: 'd2' }, status);
    expect(roster.list()[1].domain).to.equal('d2');
  });
  it('that polled this one are forgotten once they no longer poll', () => {
    const pollers = new PollerTable();
    for (let index = 0; index < NAMED; index += 1) pollers.record(formatIp(index), 2, 0);
    expect(pollers.size).to.equal(MAX_KEPT);
    pollers.forget(10_000, 10_000);
    expect(pollers.size).to.equal(0);
  });
  it('are not taken from a list whose names are none', () => {
    const members = [makeMember('10.0.0.1')];
    expect(parseFeedResponse({ delta: DELTA, members })).to.not.equal(undefined);
    const long = { ...members[0], domain: 'x'.repeat(2000) };
    for (const odd of [makeMember('x'.repeat(100)), long]) {
      expect(parseFeedResponse({ delta: DELTA, members: [...members, odd] })).to.equal(undefined);
    }
    const left = Array.from({ length: 5000 }, () => ({ incarnation: 'i', revision: 1 }));
    expect(parseFeedResponse({ delta: { ...DELTA, left }, members })).to.equal(undefined);
  });
  it('whose changes are too long are named, and nothing of them is used', async () => {
    const server = http.createServer((_request, response) => {
      response.end(JSON.stringify({ delta: DELTA, members: [], more: 'x'.repeat(9_000_000) }));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const refused: string[] = [];
    const client = new FeedClient(new ManualClock(), port, () => refused.push('used'), {
      onRefused: (ip, reason) => refused.push(`${ip}: ${reason}`),
    });
    const position = { targets: 1, configuration: 1, evacuations: 0 };
    expect(await client.fetchChanges('127.0.0.1', { position, members: 0 })).to.equal(false);
    expect(refused).to.have.length(1);
    expect(refused[0]).to.match(/^127\.0\.0\.1: .*expected at most 8388608 bytes$/);
    client.close();
    server.close();
  });
});
