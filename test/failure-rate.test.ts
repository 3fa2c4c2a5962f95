/**
 * Guards against grey failures: two thirds of a service's targets reject more than half of their
 * calls, while their health checks pass and their slots are free. A home sends each target less
 * than one call a second, so a fifth of all calls was rejected for eight seconds, until the retry
 * budget was used up.
 */
import { expect } from 'chai';
import { FailureRate, chooseTarget, drawCandidates } from '../src/balance/index.js';
import { createSeededRandom } from '../src/kernel/index.js';

const TARGETS = 270;
const GREY_SHARE = 2 / 3;
const REJECTED_SHARE = 0.55;
const CALLS_PER_SECOND = 130;
const WORK_MS = 350;

interface SimulatedTarget {
  readonly isGrey: boolean;
  readonly isOtherDomain: boolean;
  readonly rate: FailureRate;
  endsAt: number[];
  slowdown: number;
}

/** Sends the calls of one home for ten seconds; returns the rejected share of the last seven. */
function runHome(seed: number): number {
  const random = createSeededRandom(seed);
  const targets: SimulatedTarget[] = Array.from({ length: TARGETS }, (_, index) => ({
    ...{
      isGrey: random.next() < GREY_SHARE,
      isOtherDomain: index % 3 > 0,
      rate: new FailureRate(),
    },
    ...{ endsAt: [], slowdown: 1 },
  }));
  const pool = {
    sameDomain: targets.filter(({ isOtherDomain }) => !isOtherDomain),
    otherDomains: targets.filter(({ isOtherDomain }) => isOtherDomain),
  };
  let [sent, rejected, redrawnAt] = [0, 0, -Infinity];
  for (let now = 0; now < 10_000; now += 1000 / CALLS_PER_SECOND) {
    if (now - redrawnAt >= 500) {
      redrawnAt = now;
      for (const target of targets) target.slowdown = random.next() < 0.3 ? 7 : 1;
    }
    const candidates = drawCandidates(pool, { random, isUsable: () => true });
    const choice = chooseTarget(
      candidates,
      (target) => {
        target.endsAt = target.endsAt.filter((at) => at > now);
        return {
          ...{ slots: 4, calls: target.endsAt.length, slowdown: target.slowdown, coldFactor: 1 },
          ...{
            failureRatio: target.rate.read(now),
            isSuspect: false,
            isOtherDomain: target.isOtherDomain,
          },
        };
      },
      { callsAhead: 0, callRatio: 3, targetsPerCandidate: TARGETS / 64, random, bodyBytes: 0 },
    );
    if (choice.kind !== 'now') continue;
    const { candidate } = choice;
    const isRejected = candidate.isGrey && random.next() < REJECTED_SHARE;
    if (now >= 3000) {
      sent += 1;
      rejected += Number(isRejected);
    }
    if (isRejected) candidate.rate.recordFailure(now);
    else {
      candidate.endsAt.push(now + WORK_MS * candidate.slowdown);
      candidate.rate.recordSuccess(now);
    }
  }
  return rejected / sent;
}

describe('grey targets', () => {
  it('get few of the calls once each has had some calls', () => {
    for (let seed = 1; seed <= 5; seed += 1)
      expect(runHome(seed), `seed ${seed}`).to.be.below(0.08);
  });
  it('do not make calls wait for long for full targets when most targets of a service have failed', () => {
    const random = createSeededRandom(1);
    const usual = { slots: 4, slowdown: 1, coldFactor: 1, isSuspect: false, isOtherDomain: false };
    const free = { ...usual, calls: 0, failureRatio: 2 };
    const full = { ...usual, calls: 4, failureRatio: 0 };
    const candidates = [...Array(20).fill(free), ...Array(10).fill(full)] as (typeof free)[];
    const terms = { callsAhead: 0, callRatio: 3, targetsPerCandidate: 4, random, bodyBytes: 0 };
    const short = chooseTarget(candidates, (load) => load, { ...terms, callsAhead: 0 });
    // To avoid a target that fails two of three calls is worth a short wait, but not a long one.
    expect(short.kind).to.equal('wait');
    const long = chooseTarget(candidates, (load) => load, { ...terms, callsAhead: 120 });
    expect(long.kind).to.equal('now');
    const recovered = candidates.map((it) => (it === free ? { ...free, failureRatio: 0.5 } : it));
    const soon = chooseTarget(recovered, (load) => load, { ...terms, callsAhead: 30 });
    expect(soon.kind).to.equal('now');
  });
  it('are rated by recent failures per recent success', () => {
    const rate = new FailureRate();
    expect(rate.read(0)).to.equal(0);
    rate.recordFailure(0);
    expect(rate.read(0)).to.equal(1);
    for (let call = 0; call < 9; call += 1) rate.recordSuccess(0);
    expect(rate.read(0)).to.equal(0.1);
    expect(rate.read(60_000)).to.be.below(0.01);
  });
  it('are failing after a few failures in a row, however many calls they had answered', () => {
    const rate = new FailureRate();
    for (let call = 0; call < 500; call += 1) rate.recordSuccess(0);
    rate.recordFailure(0);
    rate.recordFailure(0);
    expect(rate.isAvoided(0)).to.equal(false);
    for (let call = 0; call < 2; call += 1) rate.recordFailure(0);
    expect(rate.isFailing(0)).to.equal(true);
  });
  // Guards against counts that are not decayed while there are no failures, and all at once later.
  it('are not avoided for a single failure after a minute of successes', () => {
    const rate = new FailureRate();
    for (let now = 0; now < 60_000; now += 20) rate.recordSuccess(now);
    rate.recordFailure(60_000);
    expect(rate.isAvoided(60_000)).to.equal(false);
  });
  it('are forgiven as soon as their answers are improbable for targets that fail', () => {
    const isForgivenAfter = (failures: number, successes: number) => {
      const rate = new FailureRate();
      for (let call = 0; call < failures; call += 1) rate.recordFailure(0);
      for (let call = 0; call < successes; call += 1) rate.recordSuccess(0);
      return !rate.isAvoided(0);
    };
    expect(isForgivenAfter(50, 1)).to.equal(true);
    expect(isForgivenAfter(5, 1)).to.equal(false);
    expect(isForgivenAfter(5, 2)).to.equal(true);
    expect(isForgivenAfter(1, 5)).to.equal(false);
  });
});
