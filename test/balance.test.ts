/**
 * The decisions of an entry: which target a call gets, which calls wait or are refused, and which
 * targets are ejected.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  CallQueue,
  type HomeCandidate,
  Pool,
  ShareBudget,
  type Slot,
  type SlotRequest,
  type SlotResult,
  Target,
  assignTargets,
  createAdaptiveLimit,
  createFixedLimit,
  planHomes,
  parseRegion,
} from '../src/balance/index.js';
import type { ClassConfig } from '../src/config/index.js';
import { HomeLoadTable } from '../src/spread/index.js';
import { InvariantError, ManualClock, createSeededRandom } from '../src/kernel/index.js';

const NORMAL: ClassConfig = { name: 'normal', weight: 4, wait: 1000 };
const URGENT: ClassConfig = { name: 'urgent', weight: 16, wait: 1000 };
const ANSWERED = { kind: 'answered', status: 200 } as const;
const FAILED = { kind: 'failed', reason: 'test' } as const;
const NO_TARGETS: ReadonlySet<Target> = new Set();

class Bench {
  readonly clock = new ManualClock();

  readonly random = createSeededRandom(3);

  readonly pool = new Pool({
    ...{ strategy: 'fresh', queueLimit: 100, clock: this.clock, random: this.random },
  });

  readonly targets: readonly Target[];

  constructor(count: number, slots: number) {
    this.targets = Array.from({ length: count }, (_, index) => this.createTarget(index, slots));
    this.pool.setTargets(this.targets);
  }

  createTarget(index: number, slots: number, coldStart = 0): Target {
    return new Target({
      ...{ address: { host: '10.0.0.1', port: index + 1 }, domain: 'hu/a', coldStart },
      ...{ limit: createFixedLimit(slots), isNew: true, clock: this.clock, random: this.random },
    });
  }

  ask(part: Partial<SlotRequest> = {}): Promise<SlotResult> {
    return this.pool.takeSlot({
      ...{ class: NORMAL, caller: 'a', hold: undefined, repeatable: true, tried: NO_TARGETS },
      ...{ deadline: this.clock.now() + 5000, signal: new AbortController().signal, ...part },
    });
  }

  async take(part: Partial<SlotRequest> = {}): Promise<Slot> {
    const result = await this.ask(part);
    if (result.kind === 'refused') throw new Error(result.reason);
    return result;
  }
}

const tick = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('Pool', () => {
  describe('takeSlot', () => {
    it('chooses the least busy target and never exceeds a limit', async () => {
      const bench = new Bench(3, 2);
      for (let turn = 0; turn < 6; turn += 1) await bench.take();
      expect(bench.targets.map(({ inFlight }) => inFlight)).to.deep.equal([2, 2, 2]);
    });

    it('gives a released slot to a waiting call', async () => {
      const bench = new Bench(1, 1);
      const first = await bench.take();
      const second = bench.ask();
      await bench.clock.advance(10);
      first.release(ANSWERED);
      expect((await second).kind).to.equal('slot');
    });

    it('refuses a waiting call once the maximum wait of its class is over', async () => {
      const bench = new Bench(1, 1);
      await bench.take();
      const waiting = bench.ask({ class: { ...NORMAL, wait: 50 } });
      await bench.clock.advance(60);
      expect(await waiting).to.include({ kind: 'refused', reason: 'wait-too-long' });
    });

    it('refuses a call at once if its expected wait exceeds its deadline', async () => {
      const bench = new Bench(1, 1);
      const slow = await bench.take();
      await bench.clock.advance(500);
      slow.release(ANSWERED);
      await bench.take();
      const deadline = bench.clock.now() + 100;
      expect(await bench.ask({ deadline })).to.include({ reason: 'wait-too-long' });
    });

    it('refuses a call when there is no target, with a retry time', async () => {
      const bench = new Bench(0, 1);
      const refused = await bench.ask();
      expect(refused).to.include({ kind: 'refused', reason: 'no-target' });
      expect(refused.kind === 'refused' && refused.retryAfter).to.be.above(0);
    });

    it('removes a waiting call when its caller disconnects', async () => {
      const bench = new Bench(1, 1);
      await bench.take();
      const abort = new AbortController();
      const waiting = bench.ask({ signal: abort.signal });
      abort.abort();
      expect(await waiting).to.include({ reason: 'cancelled' });
      expect(bench.pool.readLoad().waiting).to.equal(0);
    });
  });

  describe('a policy that holds calls back', () => {
    it('limits its calls to their share of the slots and lets other calls pass', async () => {
      const bench = new Bench(2, 5);
      const hold = { policy: 'uploads', share: 0.2 };
      await bench.take({ hold });
      await bench.take({ hold });
      const third = bench.ask({ hold });
      await tick();
      expect(bench.pool.readLoad().waiting).to.equal(1);
      expect((await bench.ask()).kind).to.equal('slot');
      bench.targets[0]?.readState();
      await bench.clock.advance(1100);
      expect(await third).to.include({ kind: 'refused' });
    });
  });

  describe('invariants', () => {
    it('releasing a slot twice is an invariant error', async () => {
      const slot = await new Bench(1, 1).take();
      slot.release(ANSWERED);
      expect(() => slot.release(ANSWERED)).to.throw(InvariantError);
    });

    it('starting a call at a leaving target is an invariant error', () => {
      const [target] = new Bench(1, 1).targets;
      target?.updateListedState('leaving');
      expect(() => target?.start()).to.throw(InvariantError);
    });

    it('finishing more calls than were started is an invariant error', () => {
      const [target] = new Bench(1, 1).targets;
      expect(() => target?.finish(ANSWERED, 1)).to.throw(InvariantError);
    });

    it('hold in long random runs: calls in flight equal the slots held', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 20, maxLength: 200 }),
          async (steps) => {
            const bench = new Bench(3, 2);
            const held: Slot[] = [];
            for (const step of steps) {
              const [target] = bench.targets;
              if (step < 5) {
                bench.ask({ class: step < 2 ? URGENT : NORMAL, caller: String(step) }).then(
                  (result) => result.kind === 'slot' && held.push(result),
                  () => undefined,
                );
              } else if (step < 8) held.shift()?.release(step === 7 ? FAILED : ANSWERED);
              else if (step === 8) target?.updateListedState('leaving');
              else target?.updateListedState('live');
              await tick();
              await bench.clock.advance(7);
              const inFlight = bench.targets.reduce((sum, t) => sum + t.inFlight, 0);
              expect(inFlight).to.equal(held.length);
            }
          },
        ),
        { seed: 5, numRuns: 30 },
      );
    });
  });
});

describe('Target', () => {
  const failTimes = async (bench: Bench, count: number) => {
    for (let turn = 0; turn < count; turn += 1) (await bench.take()).release(FAILED);
  };

  it('is ejected after consecutive failures and readmitted after successful trials', async () => {
    const bench = new Bench(4, 1);
    const [first, ...others] = bench.targets as [Target, ...Target[]];
    for (let turn = 0; turn < 5; turn += 1) {
      first.start();
      first.finish(FAILED, 1);
    }
    expect(first.readState().kind).to.equal('ejected');
    await bench.clock.advance(2000);
    expect(first.readState().kind).to.equal('trial');
    for (let turn = 0; turn < 3; turn += 1) {
      first.start();
      first.finish(ANSWERED, 1);
    }
    expect(first.readState().kind).to.equal('ready');
    expect(others.every((target) => target.readState().kind === 'ready')).to.equal(true);
  });

  it('stays in use when most targets fail, as the cause is then likely shared', async () => {
    const bench = new Bench(4, 1);
    await failTimes(bench, 60);
    const usable = bench.targets.filter((target) => target.limit > 0);
    expect(usable.length).to.be.at.least(2);
  });

  it('that fails fast gets few calls before it is ejected', async () => {
    const bench = new Bench(10, 4);
    const [bad] = bench.targets;
    let failures = 0;
    for (let turn = 0; turn < 2000; turn += 1) {
      const slot = await bench.take();
      if (slot.target === bad) failures += 1;
      await bench.clock.advance(slot.target === bad ? 0.2 : 2);
      slot.release(slot.target === bad ? FAILED : ANSWERED);
    }
    expect(failures).to.be.below(30);
  });

  it('that stops completing calls is avoided within a few service times', async () => {
    const bench = new Bench(5, 4);
    const [hanging] = bench.targets;
    for (let turn = 0; turn < 50; turn += 1) {
      const slot = await bench.take();
      await bench.clock.advance(5);
      slot.release(ANSWERED);
    }
    for (let turn = 0; turn < 200 && hanging?.inFlight === 0; turn += 1) {
      const slot = await bench.take();
      if (slot.target !== hanging) slot.release(ANSWERED);
    }
    expect(hanging?.inFlight).to.equal(1);
    await bench.clock.advance(60);
    for (let turn = 0; turn < 50; turn += 1) {
      const slot = await bench.take();
      expect(slot.target).not.to.equal(hanging);
      slot.release(ANSWERED);
    }
  });

  const SIGNS: readonly { what: string; sign: (target: Target) => void }[] = [
    {
      what: 'the list says that it is leaving',
      sign: (target) => target.updateListedState('leaving'),
    },
    { what: 'it is missing from the list', sign: (target) => target.updateListedState('gone') },
    {
      what: 'another entry reports that it is leaving',
      sign: (target) => target.recordLeavingNotice(),
    },
    {
      what: 'it reports that it is draining',
      sign: (target) => {
        target.start();
        target.recordReport({ state: 'draining', inFlight: 0 });
        target.finish(ANSWERED, 1);
      },
    },
  ];
  for (const { what, sign } of SIGNS) {
    it(`gets no new calls once ${what}`, async () => {
      const bench = new Bench(2, 4);
      const [leaving] = bench.targets as [Target];
      sign(leaving);
      for (let turn = 0; turn < 4; turn += 1)
        expect((await bench.take()).target).not.to.equal(leaving);
    });
  }

  it('is used again once a wrong notice has expired', async () => {
    const bench = new Bench(1, 1);
    const [target] = bench.targets as [Target];
    target.recordLeavingNotice();
    await bench.clock.advance(31_000);
    expect(target.readState().kind).to.equal('ready');
  });

  it('that is new gets more calls step by step while it warms up', async () => {
    const bench = new Bench(0, 1);
    const target = bench.createTarget(1, 10, 5000);
    expect(target.limit).to.equal(2);
    await bench.clock.advance(2500);
    expect(target.limit).to.equal(5);
    await bench.clock.advance(2500);
    expect(target.limit).to.equal(10);
  });
});

describe('CallQueue', () => {
  const item = (className: ClassConfig, caller: string) => ({
    ...{ class: className, caller, hold: undefined },
  });

  it('shares the slots between classes by weight', () => {
    const queue = new CallQueue<ReturnType<typeof item>>();
    for (let turn = 0; turn < 100; turn += 1) {
      queue.add(item(NORMAL, 'a'));
      queue.add(item(URGENT, 'a'));
    }
    let urgent = 0;
    for (let turn = 0; turn < 50; turn += 1) {
      if (queue.take(() => true)?.class === URGENT) urgent += 1;
    }
    expect(urgent).to.be.within(38, 42);
  });

  it('alternates between callers, however many calls each has waiting', () => {
    const queue = new CallQueue<ReturnType<typeof item>>();
    for (let turn = 0; turn < 10; turn += 1) queue.add(item(NORMAL, 'greedy'));
    queue.add(item(NORMAL, 'modest'));
    queue.take(() => true);
    expect(queue.take(() => true)?.caller).to.equal('modest');
  });
});

describe('ShareBudget', () => {
  it('allows its share over many calls, within one percent', () => {
    const budget = new ShareBudget(10);
    let spent = 0;
    for (let turn = 0; turn < 10_000; turn += 1) {
      budget.earn();
      if (budget.spend()) spent += 1;
    }
    expect(spent).to.be.within(990, 1010);
    expect(budget.isSound()).to.equal(true);
  });
});

describe('adaptive concurrency limit', () => {
  it('grows while latency is stable and shrinks when latency rises', () => {
    const limit = createAdaptiveLimit(50);
    for (let turn = 0; turn < 200; turn += 1) limit.recordAnswer(10, true);
    const grown = limit.read();
    expect(grown).to.be.above(10);
    for (let turn = 0; turn < 200; turn += 1) limit.recordAnswer(60, true);
    expect(limit.read()).to.be.below(grown / 2);
  });
});

describe('homes of a service', () => {
  const createEntries = (count: number): readonly HomeCandidate[] =>
    Array.from({ length: count }, (_, index) => ({
      id: `id-${index}`,
      name: `entry-${index}`,
      domain: `hu/${index % 3}`,
    }));
  const names = Array.from({ length: 30 }, (_, index) => `10.0.0.${index}:80`);

  it('are in different failure domains', () => {
    const requirements = { name: 'ledger', homes: 3, expected_rate: 1, needed: 1 };
    const { homes } = planHomes(requirements, createEntries(17));
    expect(new Set(homes.map(({ domain }) => domain)).size).to.equal(3);
  });

  it('are as many as the expected rate needs', () => {
    const requirements = { name: 'ledger', homes: 0, expected_rate: 4000, needed: 1 };
    expect(planHomes(requirements, createEntries(17)).homes).to.have.length(3);
  });

  it('are as many as the measured load needs: added at once, removed after a minute', () => {
    const board = new HomeLoadTable();
    const report = (rate: number, now: number) =>
      board.add({ service: 's', entry: 'a', rate, age: 0 }, now);
    expect(board.countHomes('s', 0)).to.equal(1);
    report(3100, 1000);
    expect(board.countHomes('s', 1000)).to.equal(3);
    report(900, 2000);
    expect(board.countHomes('s', 2000)).to.equal(3);
    report(900, 62_000);
    expect(board.countHomes('s', 62_000)).to.equal(1);
    expect(board.list(90_000)).to.deep.equal([]);
  });

  it('divide the targets evenly, each target belonging to one home', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), (count) => {
        const homes = createEntries(count);
        const parts = homes.map(({ id }) => assignTargets(names, homes, id));
        const all = parts.flatMap((part) => [...part]);
        expect(new Set(all).size).to.equal(names.length);
        expect(all).to.have.length(names.length);
        for (const part of parts) expect(part.size).to.be.at.most(Math.ceil(30 / count));
      }),
      { seed: 1 },
    );
  });

  it('change for few services when an entry leaves', () => {
    const entries = createEntries(17);
    const [removed, ...rest] = entries;
    let moved = 0;
    for (let index = 0; index < 200; index += 1) {
      const requirements = { name: `s${index}`, homes: 1, expected_rate: 1, needed: 1 };
      const [before] = planHomes(requirements, entries).homes;
      const [after] = planHomes(requirements, rest).homes;
      if (before !== removed && before?.id !== after?.id) moved += 1;
    }
    expect(moved).to.be.below(10);
  });

  it('have a region, the part of a failure domain before the slash', () => {
    expect(parseRegion('hu/bud1')).to.equal('hu');
    expect(parseRegion('alone')).to.equal('alone');
  });
});
