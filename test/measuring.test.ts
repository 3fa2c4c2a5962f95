/** What measuring costs: one agreed number for the whole fleet, whoever takes itself for a home. */
import { expect } from 'chai';
import fc from 'fast-check';
import { computeProbeInterval } from '../src/balance/index.js';
import { LoadExchange } from '../src/gateway/targets/load-exchange.js';
import { chooseProbingHome } from '../src/gateway/targets/prober.js';
import { ManualClock } from '../src/kernel/index.js';
import type { TargetLoadReport } from '../src/peering/index.js';
import type { TargetRecord } from '../src/platform/index.js';
import { Site, sendTo } from './helpers/gateways.js';
import { createTargets, createView } from './helpers/targets.js';

const HOMES = 3;

describe('the agreed number of probes', () => {
  it('holds however the fleet is split, though every daemon serves', () => {
    const anyGroups = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 });
    fc.assert(
      fc.property(anyGroups, fc.integer({ min: 1, max: 500 }), (groups, limit) => {
        const members = groups.reduce((sum, size) => sum + size, 0);
        let sent = 0;
        for (const present of groups) {
          const others = Math.max(0, present - HOMES);
          const terms = { limit, members, present };
          sent += 1000 / computeProbeInterval({ ...terms, isHome: true });
          sent += (others * 1000) / computeProbeInterval({ ...terms, isHome: false });
        }
        expect(sent).to.be.at.most(limit);
      }),
    );
  });
  // Probes from afar were nearly all the bytes between failure domains, which are paid for.
  it('is spent by the home in the failure domain of the target, where there is one', () => {
    const homes = [
      { ip: 'a', domain: 'd1' },
      { ip: 'b', domain: 'd2' },
      { ip: 'c', domain: 'd2' },
    ];
    const find = (domain: string, hash: number) =>
      chooseProbingHome({ hash, record: { domain } as TargetRecord }, homes);
    const probers = (domain: string) =>
      new Set(Array.from({ length: 60 }, (_, hash) => find(domain, hash)));
    expect([...probers('d1')]).to.deep.equal(['a']);
    expect([...probers('d2')]).to.have.members(['b', 'c']);
    expect([...probers('d3')]).to.have.members(['a', 'b', 'c']);
  });
  it('leaves most of it to the homes of a whole fleet', () => {
    const terms = { limit: 60, members: 17, present: 17, isHome: true };
    expect(computeProbeInterval(terms)).to.be.below(25);
  });
  it('is kept by daemons that are no homes and serve all the same', async () => {
    const site = await new Site().start([{ prefix: '/a/' }]);
    site.probesPerSecond = 10;
    const target = await site.addTarget();
    const first = site.createGateway();
    await first.gateway.start();
    const ips = [first.ip];
    for (let count = 0; count < 5; count += 1) ips.push(await site.addGateway([first.ip]));
    const wait = (time: number) =>
      new Promise((resolve) => {
        setTimeout(resolve, time);
      });
    let isOver = false;
    // Calls so rare that their answers do not make probes needless.
    const callers = ips.map(async (ip) => {
      while (!isOver) {
        await sendTo(ip);
        await wait(400);
      }
    });
    // Everybody has found everybody by then.
    await wait(2000);
    const before = target.probes;
    await wait(3000);
    const sent = target.probes - before;
    isOver = true;
    await Promise.all(callers);
    site.stop();
    expect(sent).to.be.within(3, 30);
  });
});

describe('daemons that are no homes and serve', () => {
  const HOUR = 3_600_000;
  let clock: ManualClock;
  let heard: {
    readonly from: string;
    readonly to: string;
    readonly shares: readonly TargetLoadReport[];
  }[];
  let ends: AbortController;

  /** Makes the sharing of one daemon; what it sends reaches the others at once. */
  function createDaemon(
    self: string,
    daemons: Map<string, LoadExchange>,
    isServing: () => boolean,
    homes: readonly string[] = ['home'],
  ) {
    const view = createView();
    const record: TargetRecord = {
      ...{ incarnation: 'i-1', service: 'alpha', address: { host: '127.0.0.1', port: 1 } },
      ...{ domain: 'd1', slots: 3, state: 'ready', coldLeft: 0, born: 0 },
    };
    view.putTarget(record, 1, 0);
    const targets = createTargets(clock);
    targets.update(view);
    const sharing = new LoadExchange({
      ...{ clock, targets, self, isServing, listHomes: () => homes },
      send: (to, shares) => {
        heard.push({ from: self, to, shares });
        daemons.get(to)?.receive(self, shares);
      },
      sendDraining: () => undefined,
    });
    daemons.set(self, sharing);
    sharing.run(ends.signal).catch(() => undefined);
    const target = targets.getService('alpha').targets.get('i-1');
    if (target === undefined) throw new Error('the target is not there');
    return target.load;
  }

  beforeEach(() => {
    clock = new ManualClock();
    heard = [];
    ends = new AbortController();
  });
  afterEach(() => ends.abort());

  it('tell the home of their calls, and hear of its', async () => {
    const daemons = new Map<string, LoadExchange>();
    const atHome = createDaemon('home', daemons, () => true);
    const atOther = createDaemon('other', daemons, () => true);
    atHome.start(0);
    atOther.start(0);
    atOther.start(0);
    await clock.advance(1000);
    expect(atHome.countCalls(1000, 1)).to.equal(3);
    expect(atOther.countCalls(1000, 1)).to.equal(3);
  });
  // Repeats of targets without calls were most of what homes told each other on a large fleet.
  it('repeat nothing of a target without calls, and that they have none holds all the same', async () => {
    const daemons = new Map<string, LoadExchange>();
    const homes = ['home', 'second'];
    const atHome = createDaemon('home', daemons, () => true, homes);
    const atSecond = createDaemon('second', daemons, () => true, homes);
    atHome.start(0);
    await clock.advance(1000);
    expect(atSecond.countCalls(1000, 2, daemons.get('second')?.countReportingHomes())).to.equal(1);
    atHome.finish();
    await clock.advance(100);
    heard.length = 0;
    await clock.advance(5000);
    expect(heard.flatMap(({ shares }) => shares)).to.deep.equal([]);
    expect(heard.filter(({ from }) => from === 'home')).to.have.length.within(8, 11);
    atSecond.start(6100);
    expect(atSecond.countCalls(6100, 2, daemons.get('second')?.countReportingHomes())).to.equal(1);
    // Without the word of the other home its calls are taken to be as many as the own ones.
    expect(atSecond.countCalls(6100, 2)).to.equal(2);
  });
  // Found on the users' bench: at 20 ms their words filled the homes' cores under overload.
  it('tell ten times a second at most, however their calls change', async () => {
    const daemons = new Map<string, LoadExchange>();
    createDaemon('home', daemons, () => true);
    const atOther = createDaemon('other', daemons, () => true);
    for (let turn = 0; turn < 50; turn += 1) {
      atOther.start(turn * 20);
      await clock.advance(20);
    }
    expect(heard.filter(({ from }) => from === 'other')).to.have.length.within(5, 10);
  });
  it('are forgotten once they serve no more', async () => {
    const daemons = new Map<string, LoadExchange>();
    createDaemon('home', daemons, () => true);
    let isServing = true;
    createDaemon('other', daemons, () => isServing);
    await clock.advance(1000);
    expect(heard.some(({ to }) => to === 'other')).to.equal(true);
    isServing = false;
    await clock.advance(2000);
    heard = [];
    await clock.advance(HOUR / 1000);
    expect(heard).to.deep.equal([]);
  });
});
