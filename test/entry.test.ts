/** Whole daemons in this process: handing over, at most once, streams, and planned stops. */
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

describe('entries together', () => {
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
      'all joined',
    );
  };

  const findHome = () => entries.find((e) => e.table.findByName('test')?.placement.isHome) as Entry;
  const findOther = () =>
    entries.find((e) => !e.table.findByName('test')?.placement.isHome) as Entry;

  afterEach(() => fleet.close());

  describe('a call at an entry that is not its home', () => {
    it('is handed over and answered whole', async () => {
      await open(3);
      const reply = await send(findOther().callersAddress, { headers: { 'x-token': 'mine' } });
      expect(reply.status).to.equal(200);
      expect(JSON.parse(reply.text)).to.include({ token: 'mine' });
      expect(findHome().table.findByName('test')?.counts.answered).to.equal(1);
    });

    it('carries an outcome of the home unchanged', async () => {
      await open(2);
      target.setFault({ kind: 'shed' });
      const reply = await send(findOther().callersAddress, POST_WITH_KEY);
      expect(reply.headers['orchidbeam-outcome']).to.equal('not-run');
      expect(JSON.parse(reply.text)).to.include({ reason: 'target-shed' });
    });

    it('is served on the spot when the home has just died', async () => {
      await open(2);
      const other = findOther();
      findHome().destroy();
      const reply = await send(other.callersAddress, { headers: { 'x-token': 'mine' } });
      expect(reply.status).to.equal(200);
    });

    it('streams a large body both ways', async () => {
      await open(2);
      const body = Buffer.alloc(3_000_000, 'u');
      const headers = { 'x-token': 'up', 'x-answer-bytes': 2_000_000 };
      const sending = { method: 'POST', path: '/receipts', body, headers };
      const reply = await send(findOther().callersAddress, sending);
      expect(reply.whole).to.equal(true);
      expect(JSON.parse(reply.text)).to.include({ token: 'up', bytes: body.length });
    });

    it('cannot be handed over by a stranger', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      const relay = entry.membership.self.relay.split(':');
      const to = { host: relay[0] ?? '', port: Number(relay[1]) };
      const reply = await send(to, { headers: { 'orchidbeam-relay': 'guess' } });
      expect(reply.status).to.equal(403);
    });
  });

  describe('a caller that knows only one of two homes', () => {
    it('has its waiting calls served by the targets of the other one too', async () => {
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
      await waitUntil(() => known.membership.listCandidates().length === 2, 'joined');
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

  describe('a posting that may run only once', () => {
    it('runs once when the same key comes to every entry at the same time', async () => {
      await open(3);
      const replies = await Promise.all(entries.map((e) => send(e.callersAddress, POST_WITH_KEY)));
      expect(replies.filter(({ status }) => status === 201)).to.have.length(1);
      for (const { headers } of replies.filter(({ status }) => status !== 201)) {
        expect(headers['orchidbeam-outcome']).to.equal('unknown');
      }
      expect(target.runs.get('k-1')).to.equal(1);
    });

    it('does not run again at a daemon that was restarted with empty memory', async () => {
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

    it('is refused as not run while the platform is down, and runs when it is sent again', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      fleet.store.setFault({ kind: 'down' });
      const refused = await send(entry.callersAddress, POST_WITH_KEY);
      expect(refused.headers['orchidbeam-outcome']).to.equal('not-run');
      fleet.store.setFault({ kind: 'none' });
      expect((await send(entry.callersAddress, POST_WITH_KEY)).status).to.equal(201);
      expect(target.runs.get('k-1')).to.equal(1);
    });

    it('frees its key when it was not run', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      target.setFault({ kind: 'shed' });
      await send(entry.callersAddress, POST_WITH_KEY);
      target.setFault({ kind: 'none' });
      expect((await send(entry.callersAddress, POST_WITH_KEY)).status).to.equal(201);
    });

    it('runs once although the reply of the platform is lost', async () => {
      await open(2);
      fleet.store.setFault({ kind: 'lose-write-replies' });
      const [a, b] = entries as [Entry, Entry];
      const replies = await Promise.all([a, b].map((e) => send(e.callersAddress, POST_WITH_KEY)));
      expect(target.runs.get('k-1') ?? 0).to.be.at.most(1);
      for (const reply of replies) expect(reply.status).not.to.equal(200);
    });

    it('refuses a key that belongs to another path', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      await send(entry.callersAddress, POST_WITH_KEY);
      const reply = await send(entry.callersAddress, { ...POST_WITH_KEY, path: '/deposits' });
      expect(reply.status).to.equal(422);
      expect(reply.headers['orchidbeam-outcome']).to.equal('not-run');
    });
  });

  describe('a caller', () => {
    it('that hangs up cancels its call at the target', async () => {
      await open(1, '', '', 2000);
      const [entry] = entries as [Entry];
      const socket = net.connect(entry.callersAddress.port, entry.callersAddress.host);
      socket.write('GET / HTTP/1.1\r\nHost: test.example\r\n\r\n');
      await waitUntil(() => target.counts.calls === 1, 'the call arrived');
      socket.destroy();
      await waitUntil(() => target.counts.cancelled === 1, 'the call was cancelled');
    });

    it('gets an answer to HEAD without a body', async () => {
      await open(1);
      const [entry] = entries as [Entry];
      const reply = await send(entry.callersAddress, { method: 'HEAD' });
      expect(reply).to.include({ status: 200, text: '', whole: true });
    });

    it('is not told to send its body before the call has a slot', async () => {
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

    it('is refused while nothing is configured', async () => {
      fleet = new Fleet();
      fleet.store.setFault({ kind: 'down' });
      const entry = await fleet.start();
      const reply = await send(entry.callersAddress);
      expect(reply.status).to.equal(503);
      expect(JSON.parse(reply.text)).to.include({ reason: 'no-configuration', outcome: 'not-run' });
    });

    it('is refused by a service that would rather not run on an old configuration', async () => {
      await open(1, 'when_stale = refuse\nstale_after = 50ms');
      const [entry] = entries as [Entry];
      fleet.store.setFault({ kind: 'down' });
      await waitUntil(() => entry.follower.proofAge > 60, 'the proof is old');
      const reply = await send(entry.callersAddress);
      expect(JSON.parse(reply.text)).to.include({ reason: 'configuration-not-current' });
    });
  });

  describe('a planned stop', () => {
    const LIMITS = '[limits]\nanswer_ttl = 300ms\n';

    it('cuts no call in flight, and leaves the answers to callers at once', async () => {
      await open(2, '', LIMITS, 900);
      const home = findHome();
      const other = findOther();
      const slow = send(home.callersAddress, { headers: { 'x-token': 'slow' } });
      await waitUntil(() => target.counts.calls === 1, 'the call arrived');
      const stopping = home.stop();
      await waitUntil(() => other.table.findByName('test')?.placement.isHome === true, 'moved');
      const path = '/.well-known/orchidbeam/entries?service=test';
      const answer = await send(other.callersAddress, { path });
      expect(answer.text).not.to.include(`:${home.callersAddress.port}"`);
      const late = await send(home.callersAddress, { headers: { 'x-token': 'late' } });
      expect(late.status).to.equal(200);
      expect((await slow).status).to.equal(200);
      await stopping;
      expect((await send(other.callersAddress)).status).to.equal(200);
    });

    it('ends calls truthfully when its time is over', async () => {
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
  it('gets nothing new in any daemon within three seconds of its first word', async () => {
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

describe('a short soak', () => {
  it('breaks no promise', async () => {
    const report = await runSoak({ seed: 11, seconds: 6, rate: 120, entries: 4, targets: 5 });
    expect(report.violations).to.deep.equal([]);
    expect(report.calls).to.be.above(200);
    expect(report.whole).to.be.above(0);
  });
});
