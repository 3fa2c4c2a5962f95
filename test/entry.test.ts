/** Several entry daemons in one process: relaying, at-most-once execution, streaming, planned stops. */
import http from 'node:http';
import net from 'node:net';
import { expect } from 'chai';
import { pause } from '../src/demo/index.js';
import type { Entry } from '../src/entry/index.js';
import type { TargetServer } from '../src/standin/index.js';
import { runSoak } from '../src/tool/index.js';
import {
  Fleet,
  type RequestOptions,
  putDocuments,
  send,
  waitUntil,
  writeService,
} from './helpers/fleet.js';

const POST_WITH_KEY: RequestOptions = {
  ...{ method: 'POST', path: '/postings', body: 'x' },
  headers: { 'idempotency-key': 'k-1', 'x-token': 't', 'content-length': 1 },
};

describe('several entries', () => {
  let fleet: Fleet;
  let target: TargetServer;
  let entries: Entry[];

  const open = async (count: number, more = '', settings = '', serviceTime = 2) => {
    fleet = new Fleet({ settings });
    target = await fleet.startTarget({ serviceTime });
    putDocuments(fleet.store, { 'service/test': writeService([target.address], more) });
    entries = [];
    for (let index = 0; index < count; index += 1) entries.push(await fleet.start(`hu/${index}`));
    await waitUntil(
      () => entries.every(({ membership }) => membership.listCandidates().length === count),
      'all entries joined',
    );
  };

  const findHome = () => entries.find((e) => e.table.findByName('test')?.placement.isHome) as Entry;
  const findOther = () =>
    entries.find((e) => !e.table.findByName('test')?.placement.isHome) as Entry;

  afterEach(() => fleet.close());

  describe('a call at an entry that is not a home of its service', () => {
    it('is relayed to a home and answered completely', async () => {
      await open(3);
      const reply = await send(findOther().callersAddress, { headers: { 'x-token': 'mine' } });
      expect(reply.status).to.equal(200);
      expect(JSON.parse(reply.text)).to.include({ token: 'mine' });
      expect(findHome().table.findByName('test')?.counts.answered).to.equal(1);
    });

    it('returns the outcome of the home unchanged', async () => {
      await open(2);
      target.setFault({ kind: 'shed' });
      const reply = await send(findOther().callersAddress, POST_WITH_KEY);
      expect(reply.headers['orchidbeam-outcome']).to.equal('not-run');
      expect(JSON.parse(reply.text)).to.include({ reason: 'target-shed' });
    });

    it('is served by this entry when the home has just crashed', async () => {
      await open(2);
      const other = findOther();
      findHome().destroy();
      const reply = await send(other.callersAddress, { headers: { 'x-token': 'mine' } });
      expect(reply.status).to.equal(200);
    });

    it('streams large bodies in both directions', async () => {
      await open(2);
      const body = Buffer.alloc(3_000_000, 'u');
      const headers = { 'x-token': 'up', 'x-answer-bytes': 2_000_000 };
      const sending = { method: 'POST', path: '/receipts', body, headers };
      const reply = await send(findOther().callersAddress, sending);
      expect(reply.whole).to.equal(true);
      expect(JSON.parse(reply.text)).to.include({ token: 'up', bytes: body.length });
    });

    it('is refused on the relay listener without the secret of the entries', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      const relay = entry.membership.self.relay.split(':');
      const to = { host: relay[0] ?? '', port: Number(relay[1]) };
      const reply = await send(to, { headers: { 'orchidbeam-relay': 'guess' } });
      expect(reply.status).to.equal(403);
    });
  });

  describe('a caller that knows only one of two homes', () => {
    it('has its waiting calls also served by the targets of the other home', async () => {
      fleet = new Fleet();
      const targets = [
        await fleet.startTarget({ serviceTime: 100 }),
        await fleet.startTarget({ serviceTime: 100 }),
      ];
      const text = writeService(
        targets.map(({ address }) => address),
        'homes = 2',
        '[class normal]\nwait = 10s',
      );
      putDocuments(fleet.store, { 'service/test': text });
      const [known] = [await fleet.start(), await fleet.start('hu/b')] as [Entry, Entry];
      await waitUntil(() => known.membership.listCandidates().length === 2, 'both entries joined');
      await waitUntil(
        () => known.table.findByName('test')?.listPools()[0]?.pool.targets.length === 1,
        'each home has one target',
      );
      const calls = Array.from({ length: 40 }, () => send(known.callersAddress));
      const replies = await Promise.all(calls);
      expect(replies.every(({ status }) => status === 200)).to.equal(true);
      for (const { counts } of targets) expect(counts.calls).to.be.above(5);
    });
  });

  describe('a POST with an idempotency key', () => {
    it('runs once when every entry receives the same key at the same time', async () => {
      await open(3);
      const replies = await Promise.all(entries.map((e) => send(e.callersAddress, POST_WITH_KEY)));
      expect(replies.filter(({ status }) => status === 201)).to.have.length(1);
      for (const { headers } of replies.filter(({ status }) => status !== 201)) {
        expect(headers['orchidbeam-outcome']).to.equal('unknown');
      }
      expect(target.runs.get('k-1')).to.equal(1);
    });

    it('does not run again at a daemon that restarted without any memory of it', async () => {
      await open(1);
      const [first] = entries as [Entry];
      await send(first.callersAddress, POST_WITH_KEY);
      first.destroy();
      const fresh = await fleet.start();
      const reply = await send(fresh.callersAddress, POST_WITH_KEY);
      expect(reply.headers['orchidbeam-outcome']).to.equal('unknown');
      expect(JSON.parse(reply.text)).to.include({ reason: 'duplicate' });
      expect(target.runs.get('k-1')).to.equal(1);
    });

    it('is refused as not run while the platform is down, and runs when it is resent afterwards', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      fleet.store.setFault({ kind: 'down' });
      const refused = await send(entry.callersAddress, POST_WITH_KEY);
      expect(refused.headers['orchidbeam-outcome']).to.equal('not-run');
      fleet.store.setFault({ kind: 'none' });
      expect((await send(entry.callersAddress, POST_WITH_KEY)).status).to.equal(201);
      expect(target.runs.get('k-1')).to.equal(1);
    });

    it('releases its key when it was not run', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      target.setFault({ kind: 'shed' });
      await send(entry.callersAddress, POST_WITH_KEY);
      target.setFault({ kind: 'none' });
      expect((await send(entry.callersAddress, POST_WITH_KEY)).status).to.equal(201);
    });

    it('runs at most once when the reply of the platform is lost', async () => {
      await open(2);
      fleet.store.setFault({ kind: 'lose-write-replies' });
      const [a, b] = entries as [Entry, Entry];
      const replies = await Promise.all([a, b].map((e) => send(e.callersAddress, POST_WITH_KEY)));
      expect(target.runs.get('k-1') ?? 0).to.be.at.most(1);
      for (const reply of replies) expect(reply.status).not.to.equal(200);
    });

    it('is refused when its key was used for another path', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      await send(entry.callersAddress, POST_WITH_KEY);
      const reply = await send(entry.callersAddress, { ...POST_WITH_KEY, path: '/deposits' });
      expect(reply.status).to.equal(422);
      expect(reply.headers['orchidbeam-outcome']).to.equal('not-run');
    });
  });

  describe('a caller', () => {
    it('that closes its connection cancels its call at the target', async () => {
      await open(1, '', '', 2000);
      const [entry] = entries as [Entry];
      const socket = net.connect(entry.callersAddress.port, entry.callersAddress.host);
      socket.write('GET / HTTP/1.1\r\nHost: test.example\r\n\r\n');
      await waitUntil(() => target.counts.calls === 1, 'the call arrived');
      socket.destroy();
      await waitUntil(() => target.counts.cancelled === 1, 'the call was cancelled');
    });

    it('gets an answer without a body to a HEAD request', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      const reply = await send(entry.callersAddress, { method: 'HEAD' });
      expect(reply).to.include({ status: 200, text: '', whole: true });
    });

    it('gets 100 Continue only after its call has a slot', async () => {
      await open(1, '', '', 300);
      const [entry] = entries as [Entry];
      for (let index = 0; index < 4; index += 1) {
        send(entry.callersAddress).catch(() => undefined);
      }
      await waitUntil(() => target.counts.calls === 4, 'all slots are taken');
      const started = performance.now();
      await new Promise<void>((resolve, reject) => {
        const request = http.request({
          ...{ host: entry.callersAddress.host, port: entry.callersAddress.port, method: 'POST' },
          headers: { host: 'test.example', expect: '100-continue', 'content-length': 100_000 },
        });
        request.on('error', reject);
        request.on('response', () => resolve());
        request.on('continue', () => {
          expect(performance.now() - started).to.be.above(50);
          request.end(Buffer.alloc(100_000));
        });
        request.flushHeaders();
      });
    });

    it('is refused while the entry has no configuration', async () => {
      fleet = new Fleet();
      fleet.store.setFault({ kind: 'down' });
      const entry = await fleet.start();
      const reply = await send(entry.callersAddress);
      expect(reply.status).to.equal(503);
      expect(JSON.parse(reply.text)).to.include({ reason: 'no-configuration', outcome: 'not-run' });
    });

    it('is refused when the configuration is stale and the service has when_stale = refuse', async () => {
      await open(1, 'when_stale = refuse\nstale_after = 50ms');
      const [entry] = entries as [Entry];
      fleet.store.setFault({ kind: 'down' });
      await waitUntil(() => entry.follower.proofAge > 60, 'the proof of currency is too old');
      const reply = await send(entry.callersAddress);
      expect(JSON.parse(reply.text)).to.include({ reason: 'configuration-not-current' });
    });
  });

  describe('a planned stop', () => {
    const LIMITS = '[limits]\nanswer_ttl = 300ms\n';

    it('cuts no call in flight, and withdraws the entry from discovery at once', async () => {
      await open(2, '', LIMITS, 900);
      const home = findHome();
      const other = findOther();
      const slow = send(home.callersAddress, { headers: { 'x-token': 'slow' } });
      await waitUntil(() => target.counts.calls === 1, 'the call arrived');
      const stopping = home.stop();
      await waitUntil(
        () => other.table.findByName('test')?.placement.isHome === true,
        'the home moved',
      );
      const path = '/.well-known/orchidbeam/entries?service=test';
      const answer = await send(other.callersAddress, { path });
      expect(answer.text).not.to.include(`:${home.callersAddress.port}"`);
      const late = await send(home.callersAddress, { headers: { 'x-token': 'late' } });
      expect(late.status).to.equal(200);
      expect((await slow).status).to.equal(200);
      await stopping;
      expect((await send(other.callersAddress)).status).to.equal(200);
    });

    // Guards against an answer that announces the close while others of its connection are due.
    it('answers all calls that were sent ahead on one connection', async () => {
      await open(1, '', LIMITS, 1200);
      const [entry] = entries as [Entry];
      const { host, port } = entry.callersAddress;
      const socket = net.connect(port, host);
      let received = '';
      socket.on('data', (data: Buffer) => {
        received += data.toString('latin1');
      });
      const call = 'GET /1 HTTP/1.1\r\nHost: test.example\r\nx-token: t\r\n\r\n';
      socket.write(call.repeat(2));
      await waitUntil(() => target.counts.calls === 2, 'the calls arrived');
      const stopped = entry.stop();
      await pause(500);
      socket.write(call);
      await stopped;
      socket.destroy();
      expect(received.match(/HTTP\/1\.1 \d+/g)).to.deep.equal(Array(3).fill('HTTP/1.1 200'));
    });

    it('reports the outcome of calls that are still running when the grace period ends', async () => {
      await open(1, 'deadline = 60s', LIMITS);
      const [entry] = entries as [Entry];
      target.setFault({ kind: 'hang' });
      const hanging = send(entry.callersAddress, POST_WITH_KEY);
      await waitUntil(() => target.counts.calls === 1, 'the call arrived');
      await entry.stop(600);
      const reply = await hanging;
      expect(JSON.parse(reply.text)).to.include({ outcome: 'unknown', reason: 'stopping' });
    });
  });
});

describe('a leaving target', () => {
  it('gets no new calls from any daemon three seconds after it first reports draining', async () => {
    const fleet = new Fleet();
    const leaving = await fleet.startTarget();
    const staying = await fleet.startTarget();
    const text = writeService([leaving.address, staying.address], 'homes = 3');
    putDocuments(fleet.store, { 'service/test': text });
    const entries = [await fleet.start(), await fleet.start('hu/b'), await fleet.start('hu/c')];
    leaving.setFault({ kind: 'draining', refuses: false });
    for (const entry of entries) await send(entry.callersAddress);
    await pause(2000);
    const before = leaving.counts.calls;
    for (let round = 0; round < 30; round += 1) {
      for (const entry of entries) await send(entry.callersAddress);
    }
    expect(leaving.counts.calls).to.equal(before);
    fleet.close();
  });
});

describe('a short soak test', () => {
  it('finds no violation', async () => {
    const report = await runSoak({ seed: 11, seconds: 6, rate: 120, entries: 4, targets: 5 });
    expect(report.violations).to.deep.equal([]);
    expect(report.calls).to.be.above(200);
    expect(report.whole).to.be.above(0);
  });
});
