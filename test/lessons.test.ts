import { expect } from 'chai';
import {
  type LearnedState,
  LearnedStateStore,
  EMPTY_LEARNED_STATE,
  formatLearnedState,
  parseLearnedState,
  hasSignificantChange,
} from '../src/gateway/learned-state.js';
import { CarrierPool } from '../src/gateway/carrying/carrier-pool.js';
import { FleetKey } from '../src/gateway/carrying/fleet-key.js';
import { PoisonRegistry } from '../src/gateway/requests/poison-registry.js';
import { UNLIMITED_ADMISSION, UNLIMITED_TICKET } from '../src/gateway/quota/quota-ticket.js';
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
import { UNWATCHED_CONNECTIONS } from './helpers/targets.js';

const ALPHA = { mean: 2, slow: 5, life: 150, knee: 1.7, samples: 400, at: 7000 };
const ROUTE = { work: 220, spread: 1.35, samples: 50, at: 7000 };

const LEARNED: LearnedState = {
  services: new Map([['alpha', ALPHA]]),
  routes: new Map([['r/a/', ROUTE]]),
  homes: 4,
  poison: [{ request: 'q1', ended: [7, 9], releases: ['v1'], at: 1_700_000_000_000 }],
};

const withReportLife = (life: number): LearnedState => ({
  ...LEARNED,
  services: new Map([['alpha', { ...ALPHA, life }]]),
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
        services: { alpha: ALPHA, bad: { mean: 1 }, none: null },
        routes: { worse: { work: -1, spread: 'x' } },
      });
      expect(parseLearnedState(partlyInvalid)).to.deep.equal({
        services: LEARNED.services,
        routes: new Map(),
        homes: 0,
        poison: [],
      });
    });
    it('keeps only values that targets can have', () => {
      const badServices = [
        ...[{ mean: 1e300 }, { mean: 0 }, { slow: 1e-300 }, { life: 1e300 }, { life: 0.5 }],
        ...[{ knee: 0.1 }, { knee: 51 }, { mean: null }, { mean: '2' }],
      ].map((change, index) => [`s${index}`, { ...ALPHA, ...change }] as const);
      const badRoutes = [
        ...[{ work: 600_000 }, { work: 1e300 }, { work: 1e-300 }, { spread: 100 }, { spread: 0.5 }],
      ].map((change, index) => [`r${index}`, { ...ROUTE, ...change }] as const);
      const text = JSON.stringify({
        services: { ...Object.fromEntries(badServices), alpha: ALPHA },
        routes: { ...Object.fromEntries(badRoutes), 'r/a/': ROUTE },
        ...{ homes: 1e300, poison: [] },
      });
      expect(parseLearnedState(text)).to.deep.equal({
        ...{ services: LEARNED.services, routes: LEARNED.routes, homes: 1000, poison: [] },
      });
    });
    it('of a build that stored no samples is read', () => {
      const { samples, at, ...route } = ROUTE;
      expect(samples + at).to.be.greaterThan(0);
      const read = parseLearnedState(JSON.stringify({ routes: { 'r/a/': route } }));
      expect(read.routes).to.deep.equal(new Map([['r/a/', { ...route, samples: 0, at: 0 }]]));
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
    let samples = 1000;
    /** Returns the state with samples that were taken since the last time. */
    const addSamples = ({ services, routes, ...rest }: LearnedState): LearnedState => {
      samples += 100;
      const take = <T extends object>(entries: ReadonlyMap<string, T>) =>
        new Map([...entries].map(([name, entry]) => [name, { ...entry, samples }] as const));
      return { services: take(services), routes: take(routes), ...rest };
    };
    const readStored = () => parseLearnedState(standin.get(KEYS.learnedState) ?? '');
    const readStoredWork = () => readStored().routes.get('r/a/')?.work;
    const withWork = (work: number): LearnedState => ({
      ...LEARNED,
      routes: new Map([['r/a/', { ...ROUTE, work }]]),
    });

    it('is written by one daemon after a significant change, and read by the next that starts', async () => {
      let learned = LEARNED;
      startStore(true, () => addSamples(learned));
      for (let check = 0; check < 2; check += 1) await advanceClocks();
      const readLife = () => readStored().services.get('alpha')?.life;
      expect(readLife()).to.equal(150);
      expect(readStoredWork()).to.equal(220);
      learned = withReportLife(160);
      for (let check = 0; check < 2; check += 1) await advanceClocks();
      expect(readLife()).to.equal(150);
      learned = withReportLife(500);
      for (let check = 0; check < 2; check += 1) await advanceClocks();
      const { found } = startStore(false, () => EMPTY_LEARNED_STATE);
      await advanceClocks();
      expect(found).to.have.length(1);
      expect(found[0].services.get('alpha')).to.deep.include({ life: 500, mean: 2 });
      for (const event of ['lessons.written', 'lessons.read']) {
        expect(lines.findLast((line) => line.includes(`event=${event} `))).to.match(
          /homes=4 poison=1 services="?alpha:.*2\/5\/500\/1.7.* routes="?r\/a\/:.*220\/1.35/,
        );
      }
    });
    // Guards against a record for all daemons that a moment of trouble at one of them has made.
    it('is not written before further samples have confirmed it', async () => {
      let learned = LEARNED;
      let hasSamples = true;
      startStore(true, () => (hasSamples ? addSamples(learned) : learned));
      for (let check = 0; check < 2; check += 1) await advanceClocks();
      expect(readStoredWork()).to.equal(220);
      learned = withWork(17_000);
      await advanceClocks();
      learned = LEARNED;
      for (let check = 0; check < 2; check += 1) await advanceClocks();
      expect(readStoredWork()).to.equal(220);
      learned = addSamples(withWork(17_000));
      hasSamples = false;
      for (let check = 0; check < 5; check += 1) await advanceClocks();
      expect(readStoredWork()).to.equal(220);
      learned = withWork(500);
      hasSamples = true;
      for (let check = 0; check < 2; check += 1) await advanceClocks();
      expect(readStoredWork()).to.equal(500);
    });
    it('is not written by other daemons, and keeps entries that the writer does not know', async () => {
      startStore(false, () => LEARNED);
      await advanceClocks();
      expect(standin.get(KEYS.learnedState)).to.equal(undefined);
      standin.put(KEYS.learnedState, formatLearnedState(LEARNED));
      const otherLearned = {
        services: new Map([['beta', ALPHA]]),
        routes: new Map(),
        homes: 4,
        poison: [],
      };
      startStore(true, () => addSamples(otherLearned));
      for (let check = 0; check < 2; check += 1) await advanceClocks();
      const kept = parseLearnedState(standin.get(KEYS.learnedState) ?? '');
      expect([...kept.services.keys()]).to.have.members(['alpha', 'beta']);
      expect(kept.routes).to.deep.equal(LEARNED.routes);
    });
  });

  it('gives a new daemon its initial estimates, which it does not report as its own', () => {
    const clock = new ManualClock();
    const random = createSeededRandom(1);
    const targets = new TargetSet({
      ...{ clock, random, domain: 'd', countHomes: () => 1, countReportingHomes: () => 0 },
      findRegion: () => undefined,
      ...UNWATCHED_CONNECTIONS,
      listener: noopListener,
      readColdStartLimits: () => ({ rate: Infinity, overshoot: 1, slack: 0, duration: 0 }),
      readShare: () => ({ part: 1, homes: ['127.0.0.1'], self: '127.0.0.1' }),
      createRetryBudget: () =>
        new WindowBudget(clock, () => ({ ratio: 0, slack: 0, window: 1000 })),
    });
    targets.getService('alpha');
    targets.restoreLearnedState(
      new Map([...LEARNED.services, ['late', { ...ALPHA, life: 900 }] as const]),
    );
    expect(targets.getService('alpha').readSlowdownParameters()).to.deep.equal({
      mean: 2,
      slow: 5,
      life: 150,
    });
    expect(targets.getService('alpha').knee.findConcurrencyLimit(6)).to.equal(4);
    expect(targets.getService('late').readSlowdownParameters().life).to.equal(900);
    expect(targets.readLearnedState().size).to.equal(0);
    const log = createRateLimitedLog(clock, 'error', {}, { writableLength: 0, write: () => true });
    const metrics = new TextMetrics();
    const reception = new RequestHandler({
      ...{ clock, random, targets, metrics, log, readTable: () => undefined },
      isUnconfirmed: () => false,
      eventLoop: {
        mayHavePendingConnections: false,
        accepted: 0,
        hasRecentListenOverflow: false,
        readLateness: () => 0,
        scheduleAfterIteration: () => undefined,
      },
      onInvariantViolation: () => undefined,
      quotas: {
        admit: () => UNLIMITED_ADMISSION,
        createCarriedTicket: () => UNLIMITED_TICKET,
      },
      carryService: {
        pool: new CarrierPool({
          ...{ clock, random, domain: 'd', port: 1 },
          ...{ findRegion: () => undefined, listHomes: () => [], listAll: () => [] },
        }),
        fleetKey: new FleetKey({
          ...{ store: createKvStore({ host: '127.0.0.1', port: 1 }, 100), clock, random, log },
          ...{ isFirstStart: true, isWriter: () => false },
        }),
      },
      poison: new PoisonRegistry({
        ...{ clock, log, metrics, mayRunTrials: () => true, send: () => undefined },
      }),
    });
    reception.restoreLearnedState(LEARNED.routes);
    expect(reception.readLearnedState().size).to.equal(0);
  });
});
