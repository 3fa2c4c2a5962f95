import { expect } from 'chai';
import {
  type CallEnd,
  type CallKind,
  ServiceSimulation,
  type SimulatedCall,
} from './helpers/simulated-service.js';

const TARGETS = 8;
const SLOTS = 4;
const SEEDS = [1, 2];

/** Time at which targets begin to fail, in milliseconds. */
const BEGIN_MS = 3000;

/** Time within which targets that are well again are used, in milliseconds. */
const RECOVERY_MS = 2000;

const MEASURED_MS = 2000;

const MIN_SERVED_SHARE = 0.95;

const READ: CallKind = { perSecond: 60, isRepeatable: true, work: 20, timeout: 800 };
const POST: CallKind = { perSecond: 40, isRepeatable: false, work: 20, timeout: 800 };
const LONG: CallKind = { perSecond: 40, isRepeatable: true, work: 300, timeout: 4000 };

/** Calls that take up a share of all slots. */
function createLoad(share: number): readonly CallKind[] {
  const kinds = [READ, POST, LONG];
  let busy = 0;
  for (const { perSecond, work } of kinds) busy += (perSecond * work) / 1000;
  const factor = (share * TARGETS * SLOTS) / busy;
  return kinds.map((kind) => ({ ...kind, perSecond: kind.perSecond * factor }));
}

const LOADS = [
  { load: 'light load', kinds: createLoad(0.2) },
  { load: 'slots nearly all taken', kinds: createLoad(0.8) },
];

/** When each target fails; undefined for a target that stays well. */
type Trouble = (target: number) => { readonly from: number; readonly to: number } | undefined;

const failFor = (time: number) => ({ from: BEGIN_MS, to: BEGIN_MS + time });

const ENDING_TROUBLES: readonly (readonly [string, Trouble])[] = [
  ['all targets for a second', () => failFor(1000)],
  ['all targets for ten seconds', () => failFor(10_000)],
  ['half of the targets for four seconds', (target) => (target < 4 ? failFor(4000) : undefined)],
  ['all targets, which recover one after another', (target) => failFor(5000 + target * 500)],
];

type Failure = (work: number, draw: () => number) => CallEnd;

const FAILURES: readonly (readonly [string, Failure])[] = [
  ['fail at once', () => ({ kind: 'failed', time: 3 })],
  ['fail after the usual time', (work) => ({ kind: 'failed', time: work })],
  ['say that calls have not run', () => ({ kind: 'not-run', time: 3 })],
  [
    'fail half of the calls',
    (work, draw) =>
      draw() < 0.5 ? { kind: 'failed', time: work } : { kind: 'answered', time: work },
  ],
];

/** Simulates a service whose targets fail for a time. */
function createSimulation(seed: number, trouble: Trouble, fail: Failure): ServiceSimulation {
  return new ServiceSimulation({
    ...{ targets: TARGETS, slots: SLOTS, seed },
    endCall: ({ target, now, work, draw }) => {
      const span = trouble(target);
      if (span !== undefined && now >= span.from && now < span.to) return fail(work, draw);
      return { kind: 'answered', time: work * (0.8 + 0.4 * draw()) };
    },
  });
}

/** Returns when the last target is well again, in milliseconds. */
function findEnd(trouble: Trouble): number {
  let end = BEGIN_MS;
  for (let target = 0; target < TARGETS; target += 1) {
    end = Math.max(end, trouble(target)?.to ?? end);
  }
  return end;
}

function measureServedShare(calls: readonly SimulatedCall[]): number {
  return calls.filter(({ outcome }) => outcome === 'answered').length / calls.length;
}

const GOING_ON_MS = 10_000;

/** Trials are limited to a tenth of the calls, or to one in fifty where callers would notice. */
const MAX_FAILING_SHARE = 0.12;

/** Share of calls whose callers may see that targets go on failing. */
const MAX_NOTICED_SHARE = 0.02;

/** Runs calls until targets have had time to be used again, and returns the later ones. */
async function runUntilRecovered(
  simulation: ServiceSimulation,
  trouble: Trouble,
  kinds: readonly CallKind[],
): Promise<readonly SimulatedCall[]> {
  const from = findEnd(trouble) + RECOVERY_MS;
  await simulation.runUntil(from + MEASURED_MS, kinds);
  await simulation.clock.advance(LONG.timeout);
  return simulation.calls.filter(({ at }) => at >= from);
}

/** Returns the first target that has not answered a call within the time after it was well again. */
function findIdleTarget({ attempts }: ServiceSimulation, trouble: Trouble): number | undefined {
  for (let target = 0; target < TARGETS; target += 1) {
    const from = trouble(target)?.to ?? BEGIN_MS;
    const hasAnswered = attempts.some(
      ({ at, end, ...sent }) =>
        sent.target === target &&
        end.kind === 'answered' &&
        at >= from &&
        at + end.time < from + RECOVERY_MS,
    );
    if (!hasAnswered) return target;
  }
  return undefined;
}

describe('targets that failed and are well again', () => {
  // Guards against targets that get no call although only calls show that they have recovered, and
  // against calls that wait for the first of them, or are refused, while others are idle.
  describe('have each answered a call within two seconds, and serve nearly all from then on', () => {
    for (const [who, trouble] of ENDING_TROUBLES) {
      for (const [how, fail] of FAILURES) {
        for (const { load, kinds } of LOADS) {
          it(`${who} ${how}, ${load}`, async () => {
            for (const seed of SEEDS) {
              const simulation = createSimulation(seed, trouble, fail);
              const calls = await runUntilRecovered(simulation, trouble, kinds);
              expect(measureServedShare(calls), `seed ${seed}`).to.be.at.least(MIN_SERVED_SHARE);
              expect(findIdleTarget(simulation, trouble), `seed ${seed}`).to.equal(undefined);
            }
          });
        }
      }
    }
  });
});

describe('targets that go on failing', () => {
  const failForever = { from: BEGIN_MS, to: Infinity };
  const measure = async (seed: number, count: number, fail: Failure, load = LOADS[0].kinds) => {
    const trouble = (target: number) => (target < count ? failForever : undefined);
    const simulation = createSimulation(seed, trouble, fail);
    const from = BEGIN_MS + RECOVERY_MS;
    await simulation.runUntil(from + GOING_ON_MS, load);
    await simulation.clock.advance(LONG.timeout);
    const calls = simulation.calls.filter(({ at }) => at >= from);
    const failed = simulation.attempts.filter(({ at, target }) => at >= from && target < count);
    return { calls, failed };
  };

  // Guards against trials that use up the calls, or reach callers.
  for (const [how, fail] of FAILURES.slice(0, 3)) {
    for (const count of [2, 6]) {
      it(`get few calls, of which callers see next to nothing: ${count} of 8 ${how}`, async () => {
        for (const seed of SEEDS) {
          const { calls, failed } = await measure(seed, count, fail);
          const reached = calls.filter(({ outcome }) => outcome !== 'answered');
          expect(failed.length / calls.length, `seed ${seed}`).to.be.at.most(MAX_FAILING_SHARE);
          expect(reached.length / calls.length, `seed ${seed}`).to.be.at.most(MAX_NOTICED_SHARE);
        }
      });
    }
  }
  // Guards against a retry budget that is used up by retries that fail as well, when targets recover.
  it('leave half of the retry budget if all targets of the service fail', async () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed, () => failForever, FAILURES[0][1]);
      await simulation.runUntil(BEGIN_MS + 10_000, LOADS[0].kinds);
      const { retryBudget } = simulation.service;
      expect(retryBudget.counts.spent, `seed ${seed}`).to.be.greaterThan(0);
      expect(retryBudget.counts.denied, `seed ${seed}`).to.equal(0);
    }
  });
});
