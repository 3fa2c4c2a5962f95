import { expect } from 'chai';
import {
  REACH_DECISION_INTERVAL_MS,
  ReachEstimate,
  computeMaxDetectionTime,
  planReachTimes,
} from '../src/balance/index.js';
import { CONNECT_TIMEOUT_MS } from '../src/gateway/targets/connections.js';

const CONTACT_MS = 3000;
const TARGETS = 6;
const times = planReachTimes(CONTACT_MS);

/** A network in which connections to targets hang from one moment until another. */
class SimulatedReach {
  readonly estimate = new ReachEstimate(times);

  now = 0;

  checks = 0;

  #tried = 0;

  #trying: string[] = [];

  #checkEndsAt: number | undefined;

  constructor(
    private readonly cutFrom: number,
    private readonly cutUntil: number,
  ) {}

  get #isCut(): boolean {
    return this.now >= this.cutFrom && this.now < this.cutUntil;
  }

  /** Lets time pass with a call in flight all the time, until a time or a condition. */
  runUntil(until: number, isEnded: () => boolean = () => false): void {
    while (this.now < until && !isEnded()) {
      this.now += REACH_DECISION_INTERVAL_MS;
      if (!this.#isCut && this.#checkEndsAt === undefined) this.estimate.recordContact(this.now);
      this.#endCheck();
      if (this.#checkEndsAt === undefined && this.estimate.isCheckDue(this.now, TARGETS, 0))
        this.#check();
    }
  }

  #check(): void {
    this.checks += 1;
    const count = this.estimate.recordCheckStart(this.now);
    if (!this.#isCut) {
      this.estimate.recordContact(this.now);
      this.estimate.recordCheckEnd(this.now, TARGETS);
      return;
    }
    this.#checkEndsAt = this.now + CONNECT_TIMEOUT_MS;
    for (let index = 0; index < count; index += 1) {
      this.#tried += 1;
      this.#trying.push(`t${this.#tried % TARGETS}`);
    }
  }

  #endCheck(): void {
    if (this.#checkEndsAt === undefined || this.now < this.#checkEndsAt) return;
    this.#checkEndsAt = undefined;
    for (const target of this.#trying) this.estimate.recordFailure(target);
    this.#trying = [];
    this.estimate.recordCheckEnd(this.now, TARGETS);
  }
}

describe('whether a daemon reaches the targets of a service', () => {
  it('is found out well within the promised time', () => {
    for (const promised of [500, 1000, 3000, 4000, 60_000]) {
      const planned = planReachTimes(promised);
      const bound = Math.max(1000, Math.min(4000, promised));
      expect(computeMaxDetectionTime(planned, CONNECT_TIMEOUT_MS)).to.be.below(bound);
    }
    expect(computeMaxDetectionTime(times, CONNECT_TIMEOUT_MS)).to.be.below(CONTACT_MS / 2);
  });

  it('is known within the computed time after a partition', () => {
    for (let cutFrom = 1000; cutFrom < 1400; cutFrom += 7) {
      const reach = new SimulatedReach(cutFrom, Infinity);
      reach.runUntil(10_000, () => reach.estimate.isLost(reach.now));
      const took = reach.now - cutFrom;
      expect(took).to.be.at.most(computeMaxDetectionTime(times, CONNECT_TIMEOUT_MS));
    }
  });

  it('is known again with the first connection after the partition', () => {
    const reach = new SimulatedReach(1000, 5000);
    reach.runUntil(4900);
    expect(reach.estimate.isLost(reach.now)).to.equal(true);
    reach.runUntil(5000 + CONNECT_TIMEOUT_MS + times.checkInterval);
    expect(reach.estimate.isLost(reach.now)).to.equal(false);
  });

  it('is not doubted because single targets end while others answer', () => {
    const estimate = new ReachEstimate(times);
    for (let now = 0; now < 10_000; now += 50) {
      estimate.recordFailure(`t${now % 4}`);
      estimate.recordContact(now);
      expect(estimate.isCheckDue(now, TARGETS, 0)).to.equal(false);
    }
  });

  it('is not decided by failed connections while answers arrive over others', () => {
    const estimate = new ReachEstimate(times);
    for (let now = 0; now < 10_000; now += 100) {
      estimate.recordContact(now);
      for (const target of ['a', 'b', 'c']) estimate.recordFailure(target);
      estimate.recordCheckStart(now + 10);
      expect(estimate.recordCheckEnd(now + 10, TARGETS)).to.equal('none');
    }
  });

  it('is not decided by a single target of several', () => {
    const estimate = new ReachEstimate(times);
    estimate.recordFailure('a');
    estimate.recordCheckStart(1000);
    expect(estimate.recordCheckEnd(1250, TARGETS)).to.equal('none');
    expect(estimate.isLost(1250)).to.equal(false);
  });

  it('is decided by the only target of a service', () => {
    const estimate = new ReachEstimate(times);
    estimate.recordFailure('a');
    estimate.recordCheckStart(1000);
    expect(estimate.recordCheckEnd(1250, 1)).to.equal('lost');
  });

  it('is checked after the only target of a service accepted no connection', () => {
    const estimate = new ReachEstimate(times);
    estimate.recordFailure('a');
    expect(estimate.isCheckDue(1000, TARGETS, undefined)).to.equal(false);
    expect(estimate.isCheckDue(1000, 1, undefined)).to.equal(true);
  });

  it('is not decided without any failed connection, as where no target is left', () => {
    const estimate = new ReachEstimate(times);
    estimate.recordCheckStart(1000);
    expect(estimate.recordCheckEnd(1250, 0)).to.equal('none');
  });

  it('is believed for a bounded time only, as while the process is frozen', () => {
    const estimate = new ReachEstimate(times);
    estimate.recordFailure('a');
    estimate.recordCheckStart(1000);
    estimate.recordCheckEnd(1250, 1);
    expect(estimate.isLost(1250 + times.maxCheckAge)).to.equal(true);
    expect(estimate.isLost(1251 + times.maxCheckAge)).to.equal(false);
  });

  it('is checked only if a call is in flight or connections failed', () => {
    const estimate = new ReachEstimate(times);
    expect(estimate.isCheckDue(100_000, TARGETS, undefined)).to.equal(false);
    expect(estimate.isCheckDue(100_000, TARGETS, 99_900)).to.equal(false);
    expect(estimate.isCheckDue(100_000, TARGETS, 99_000)).to.equal(true);
  });
});
