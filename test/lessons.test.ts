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

const LEARNED: LearnedState = {
  services: { alpha: { mean: 2, slow: 5, life: 150, knee: 1.7 } },
  routes: { 'r/a/': { work: 220, spread: 1.35 } },
  homes: 4,
  poison: [{ request: 'q1', ended: [7, 9], releases: ['v1'], at: 1_700_000_000_000 }],
};

const withReportLife = (life: number): LearnedState => ({
  ...LEARNED,
  services: { alpha: { ...LEARNED.services.alpha, life } },
});

describe('the learned state of daemons', () => {
  describe('the stored record', () => {
    it('is parsed as it was formatted', () => {
      expect(parseLearnedState(formatLearnedState(LEARNED))).to.deep.equal(LEARNED);
    });
    it('keeps only valid entries', () => {
      for (const text of ['', '7', 'null', '[]', '{"services":7}']) {
        expect(parseLearnedState(text)).to.deep.equal(EMPTY_LEARNED_STATE);
      }
      const partlyInvalid = JSON.stringify({
        services: { ...LEARNED.services, bad: { mean: 1 }, none: null },
        routes: { worse: { work: -1, spread: 'x' } },
      });
      expect(parseLearnedState(partlyInvalid)).to.deep.equal({
        services: LEARNED.services,
        routes: {},
        homes: 0,
        poison: [],
      });
    });
    it('changes significantly when an entry is new or a value differs by more than 30 %', () => {
      expect(hasSignificantChange(LEARNED, EMPTY_LEARNED_STATE)).to.equal(true);
      expect(hasSignificantChange(LEARNED, LEARNED)).to.equal(false);
      expect(
        hasSignificantChange({ ...EMPTY_LEARNED_STATE, homes: 4, poison: LEARNED.poison }, LEARNED),
      ).to.equal(false);
      expect(hasSignificantChange({ ...LEARNED, homes: 8 }, LEARNED)).to.equal(true);
      expect(hasSignificantChange(withReportLife(160), LEARNED)).to.equal(false);
      expect(hasSignificantChange(withReportLife(500), LEARNED)).to.equal(true);
    });
  });

  describe('in the store', () => {
    let standin: KvServer;
    let store: KvStore;
    let abort: AbortController;
    const pause = (time: number) =>
      new Promise<void>((resolve) => {
        setTimeout(resolve, time);
      });

    beforeEach(async () => {
      standin = new KvServer();
      store = createKvStore(await standin.start(), 500);
      abort = new AbortController();
    });
    afterEach(async () => {
      abort.abort();
      store.close();
      await standin.stop();
    });

    function startStore(
      isWriter: boolean,
      readLearned: () => LearnedState,
    ): { readonly found: LearnedState[] } {
      const clock = new ManualClock();
      clocks.push(clock);
      const sink = { writableLength: 0, write: (line: string) => lines.push(line) > 0 };
      const log = createRateLimitedLog(clock, 'info', {}, sink);
      const found: LearnedState[] = [];
      const learnedState = new LearnedStateStore({
        ...{ store, clock, log, isWriter: () => isWriter, isHome: () => isWriter },
        isFirstStart: false,
        ...{ readLearnedState: readLearned, onRead: (state) => found.push(state) },
      });
      learnedState.run(abort.signal).catch(() => undefined);
      return { found };
    }
    const clocks: ManualClock[] = [];
    const lines: string[] = [];
    const advanceClocks = async () => {
      await pause(30);
      for (const clock of clocks) await clock.advance(5000);
      await pause(30);
    };

    it('is written by one daemon after a significant change, and read by the next that starts', async () => {
      let learned = LEARNED;
      startStore(true, () => learned);
      await advanceClocks();
      expect(parseLearnedState(standin.get(KEYS.learnedState) ?? '')).to.deep.equal(LEARNED);
      learned = withReportLife(160);
      await advanceClocks();
      expect(parseLearnedState(standin.get(KEYS.learnedState) ?? '')).to.deep.equal(LEARNED);
      learned = withReportLife(500);
      await advanceClocks();
      const { found } = startStore(false, () => EMPTY_LEARNED_STATE);
      await advanceClocks();
      expect(found).to.deep.equal([withReportLife(500)]);
      for (const event of ['lessons.written', 'lessons.read']) {
        expect(lines.findLast((line) => line.includes(`event=${event} `))).to.match(
          /homes=4 poison=1 services=alpha:2\/5\/500\/1.7 routes=r\/a\/:220\/1.35/,
        );
      }
    });
    it('is not written by other daemons, and keeps entries that the writer does not know', async () => {
      startStore(false, () => LEARNED);
      await advanceClocks();
      expect(standin.get(KEYS.learnedState)).to.equal(undefined);
      standin.put(KEYS.learnedState, formatLearnedState(LEARNED));
      const otherLearned = {
        services: { beta: LEARNED.services.alpha },
        routes: {},
        homes: 4,
        poison: [],
      };
      startStore(true, () => otherLearned);
      await advanceClocks();
      const kept = parseLearnedState(standin.get(KEYS.learnedState) ?? '');
      expect(Object.keys(kept.services)).to.have.members(['alpha', 'beta']);
      expect(kept.routes).to.deep.equal(LEARNED.routes);
    });
  });

  it('gives a new daemon its initial estimates, which it does not report as its own', () => {
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
      ...LEARNED.services,
      late: { ...LEARNED.services.alpha, life: 900 },
    });
    expect(targets.getService('alpha').readSlowdownParameters()).to.deep.equal({
      mean: 2,
      slow: 5,
      life: 150,
    });
    expect(targets.getService('alpha').knee.findConcurrencyLimit(6)).to.equal(4);
    expect(targets.getService('late').readSlowdownParameters().life).to.equal(900);
    expect(targets.readLearnedState()).to.deep.equal({});
    const log = createRateLimitedLog(clock, 'error', {}, { writableLength: 0, write: () => true });
    const metrics = new TextMetrics();
    const reception = new RequestHandler({
      ...{ clock, random, targets, metrics, log, readTable: () => undefined },
      eventLoop: {
        mayHavePendingConnections: false,
        accepted: 0,
        hasRecentListenOverflow: false,
        readLateness: () => 0,
        scheduleAfterIteration: () => undefined,
      },
      onInvariantViolation: () => undefined,
      poison: new PoisonRegistry({
        ...{ clock, log, metrics, mayRunTrials: () => true, send: () => undefined },
      }),
    });
    reception.restoreLearnedState(LEARNED.routes);
    expect(reception.readLearnedState()).to.deep.equal({});
  });
});
