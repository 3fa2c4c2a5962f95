import { expect } from 'chai';
import {
  type LearnedState,
  LearnedStateStore,
  EMPTY_LEARNED_STATE,
  formatLearnedState,
  parseLearnedState,
  hasSignificantChange,
} from '../src/gateway/learned-state.js';
import { PoisonRegistry } from '../src/gateway/requests/poison-registry.js';
import { RequestHandler } from '../src/gateway/requests/request-handler.js';
import { TargetSet } from '../src/gateway/targets/target-set.js';
import {
  ManualClock,
  TextMetrics,
  createRateLimitedLog,
  createSeededRandom,
} from '../src/kernel/index.js';
import { KEYS, type KvStore, createKvStore } from '../src/platform/index.js';
import { WindowBudget } from '../src/balance/index.js';
import { KvServer } from '../src/standin/index.js';
import { noopListener } from './helpers/listener.js';

const LESSONS: LearnedState = {
  services: { alpha: { mean: 2, slow: 5, life: 150, knee: 1.7 } },
  routes: { 'r/a/': { work: 220, spread: 1.35 } },
  homes: 4,
  poison: [{ request: 'q1', ended: [7, 9], releases: ['v1'], at: 1_700_000_000_000 }],
};

const change = (life: number): LearnedState => ({
  ...LESSONS,
  services: { alpha: { ...LESSONS.services.alpha, life } },
});

describe('what daemons have learnt', () => {
  describe('as a record', () => {
    it('is read as it was written', () => {
      expect(parseLearnedState(formatLearnedState(LESSONS))).to.deep.equal(LESSONS);
    });
    it('keeps only what makes sense', () => {
      for (const text of ['', '7', 'null', '[]', '{"services":7}']) {
        expect(parseLearnedState(text)).to.deep.equal(EMPTY_LEARNED_STATE);
      }
      const odd = JSON.stringify({
        services: { ...LESSONS.services, bad: { mean: 1 }, none: null },
        routes: { worse: { work: -1, spread: 'x' } },
      });
      expect(parseLearnedState(odd)).to.deep.equal({
        services: LESSONS.services,
        routes: {},
        homes: 0,
        poison: [],
      });
    });
    it('is news when something is new or quite different', () => {
      expect(hasSignificantChange(LESSONS, EMPTY_LEARNED_STATE)).to.equal(true);
      expect(hasSignificantChange(LESSONS, LESSONS)).to.equal(false);
      expect(
        hasSignificantChange({ ...EMPTY_LEARNED_STATE, homes: 4, poison: LESSONS.poison }, LESSONS),
      ).to.equal(false);
      expect(hasSignificantChange({ ...LESSONS, homes: 8 }, LESSONS)).to.equal(true);
      expect(hasSignificantChange(change(160), LESSONS)).to.equal(false);
      expect(hasSignificantChange(change(500), LESSONS)).to.equal(true);
    });
  });

  describe('in the store', () => {
    let standin: KvServer;
    let store: KvStore;
    let ends: AbortController;
    const pause = (time: number) =>
      new Promise<void>((resolve) => {
        setTimeout(resolve, time);
      });

    beforeEach(async () => {
      standin = new KvServer();
      store = createKvStore(await standin.start(), 500);
      ends = new AbortController();
    });
    afterEach(async () => {
      ends.abort();
      store.close();
      await standin.stop();
    });

    function startBook(
      isWriter: boolean,
      learnt: () => LearnedState,
    ): { readonly found: LearnedState[] } {
      const clock = new ManualClock();
      clocks.push(clock);
      const log = createRateLimitedLog(
        clock,
        'error',
        {},
        { writableLength: 0, write: () => true },
      );
      const found: LearnedState[] = [];
      const book = new LearnedStateStore({
        ...{ store, clock, log, isWriter: () => isWriter, isHome: () => isWriter },
        isFirstStart: false,
        ...{ readLearnedState: learnt, onFound: (lessons) => found.push(lessons) },
      });
      book.run(ends.signal).catch(() => undefined);
      return { found };
    }
    const clocks: ManualClock[] = [];
    const passTime = async () => {
      await pause(30);
      for (const clock of clocks) await clock.advance(5000);
      await pause(30);
    };

    it('is written by one daemon, when it is news, and known to the next that starts', async () => {
      let learnt = LESSONS;
      startBook(true, () => learnt);
      await passTime();
      expect(parseLearnedState(standin.get(KEYS.learnedState) ?? '')).to.deep.equal(LESSONS);
      learnt = change(160);
      await passTime();
      expect(parseLearnedState(standin.get(KEYS.learnedState) ?? '')).to.deep.equal(LESSONS);
      learnt = change(500);
      await passTime();
      const { found } = startBook(false, () => EMPTY_LEARNED_STATE);
      await passTime();
      expect(found).to.deep.equal([change(500)]);
    });
    it('is not written by others, nor lost to one that knows less', async () => {
      startBook(false, () => LESSONS);
      await passTime();
      expect(standin.get(KEYS.learnedState)).to.equal(undefined);
      standin.put(KEYS.learnedState, formatLearnedState(LESSONS));
      const more = { services: { beta: LESSONS.services.alpha }, routes: {}, homes: 4, poison: [] };
      startBook(true, () => more);
      await passTime();
      const kept = parseLearnedState(standin.get(KEYS.learnedState) ?? '');
      expect(Object.keys(kept.services)).to.have.members(['alpha', 'beta']);
      expect(kept.routes).to.deep.equal(LESSONS.routes);
    });
  });

  it('is where a daemon starts from that has seen nothing', () => {
    const clock = new ManualClock();
    const random = createSeededRandom(1);
    const targets = new TargetSet({
      ...{ clock, random, domain: 'd', countHomes: () => 1, countReportingHomes: () => 0 },
      findRegion: () => undefined,
      listener: noopListener,
      readColdStartLimits: () => ({ rate: Infinity, overshoot: 1, slack: 0, duration: 0 }),
      readShare: () => ({ part: 1, homes: ['127.0.0.1'], self: '127.0.0.1' }),
      createRetryBudget: () =>
        new WindowBudget(clock, () => ({ ratio: 0, slack: 0, window: 1000 })),
    });
    targets.getService('alpha');
    targets.restoreLearnedState({
      ...LESSONS.services,
      late: { ...LESSONS.services.alpha, life: 900 },
    });
    expect(targets.getService('alpha').readPattern()).to.deep.equal({
      mean: 2,
      slow: 5,
      life: 150,
    });
    expect(targets.getService('alpha').knee.findConcurrencyLimit(6)).to.equal(4);
    expect(targets.getService('late').readPattern().life).to.equal(900);
    expect(targets.readLearnedState()).to.deep.equal({});
    const log = createRateLimitedLog(clock, 'error', {}, { writableLength: 0, write: () => true });
    const metrics = new TextMetrics();
    const reception = new RequestHandler({
      ...{ clock, random, targets, metrics, log, readTable: () => undefined },
      turns: {
        mayHavePendingConnections: false,
        accepted: 0,
        hasRecentListenOverflow: false,
        scheduleAfterIteration: () => undefined,
      },
      onInvariantViolation: () => undefined,
      poison: new PoisonRegistry({
        ...{ clock, log, metrics, mayRunTrials: () => true, send: () => undefined },
      }),
    });
    reception.restoreLearnedState(LESSONS.routes);
    expect(reception.readLearnedState()).to.deep.equal({});
  });
});
