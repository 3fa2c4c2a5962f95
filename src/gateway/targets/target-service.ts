/** One service as this daemon uses it: its targets, and which of them a call goes to. */
import type { Clock, Random } from '../../kernel/index.js';
import {
  type TargetChoice,
  type CandidatePool,
  type FleetShare,
  MAX_CANDIDATES,
  DecayingMean,
  KneeEstimate,
  RateMeter,
  SlowdownModel,
  type SlowdownParameters,
  WindowBudget,
  chooseTarget,
  drawCandidates,
} from '../../balance/index.js';
import type { LearnedServiceState } from '../learned-state.js';
import { type ColdStartLimits, LocalRateLimits } from './local-rate-limits.js';
import { type PlacementRequest, SlotQueue } from './slot-queue.js';
import { type GatewayTarget, readRelease } from './target.js';

const MS_PER_SECOND = 1000;

/** What a service is made from. */
export interface TargetServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly domain: string;
  /** Finds the region of a failure domain; undefined for one that nobody placed. */
  readonly findRegion: (domain: string) => string | undefined;
  /** Daemons that share the targets. */
  readonly countHomes: () => number;
  /** Those of the others that have told of their calls of late. */
  readonly countReportingHomes: () => number;
  /** What cold targets of a service bear, and for how long one is cold. */
  readonly readColdStartLimits: (service: string) => ColdStartLimits;
  /** What this daemon stands for in the fleet, where all keep to a rate together. */
  readonly readShare: () => FleetShare;
  /** Makes the budget for repeats of one service. */
  readonly createRetryBudget: () => WindowBudget;
}

/** How this daemon's calls compare with all is followed for a few calls' time. */
const CALL_RATIO_HALF_LIFE_MS = 300;

/** The others tell of their calls this often, in milliseconds. */
const CALL_RATIO_INTERVAL_MS = 20;

/** Calls of a service change little; this follows some hundreds of them. */
const WORK_HALF_LIFE_MS = 3000;

/**
 * A target that has run for this long, in milliseconds, is not one of those that end every few seconds: what is lost
 * there was not lost by chance.
 */
const MIN_LONG_RUNNING_AGE_MS = 20_000;

/** One service as this daemon uses it. */
export class TargetService {
  readonly targets = new Map<string, GatewayTarget>();

  readonly callRate: RateMeter;

  lastCallAt = -Infinity;

  readonly retryBudget: WindowBudget;

  /** Calls that wait for a target. */
  readonly queue: SlotQueue;

  readonly knee = new KneeEstimate();

  /** What its targets may get from here. */
  readonly rateLimits: LocalRateLimits;

  /** What the targets' reports have taught of how slow they are. */
  readonly slowdownModel = new SlowdownModel();

  readonly #work = new DecayingMean(WORK_HALF_LIFE_MS);

  readonly #callRatio = new DecayingMean(CALL_RATIO_HALF_LIFE_MS);

  #callRatioMeasuredAt = -Infinity;

  #candidatePool: CandidatePool<GatewayTarget> | undefined;

  /** Calls that went elsewhere because a target had had what it takes. */
  rateLimitDiversions = 0;

  /** Calls that went elsewhere because a target wants nothing from this daemon for a time. */
  backoffDiversions = 0;

  constructor(
    readonly name: string,
    private readonly options: TargetServiceOptions,
  ) {
    this.callRate = new RateMeter(options.clock.now());
    this.retryBudget = options.createRetryBudget();
    this.rateLimits = new LocalRateLimits({
      ...{ clock: options.clock, readShare: options.readShare },
      readColdStartLimits: () => options.readColdStartLimits(name),
    });
    this.queue = new SlotQueue(options.clock, options.random, (call, callsAhead) =>
      this.chooseTarget(call, callsAhead),
    );
  }

  /** Counts a call that arrives. */
  recordCall(): void {
    this.lastCallAt = this.options.clock.now();
    this.callRate.add(this.lastCallAt);
    this.retryBudget.recordRequest();
  }

  /** How slow the service's targets are, and for how long one stays so. */
  readSlowdownParameters(): SlowdownParameters {
    return this.slowdownModel.read(this.options.clock.now());
  }

  /** How long calls take at a usual, idle target, in milliseconds; `fallback` before the first one. */
  readWork(fallback: number): number {
    return this.#work.read(fallback);
  }

  /** What others may start from; undefined before enough was seen here. */
  readLearnedState(): LearnedServiceState | undefined {
    if (!this.slowdownModel.hasEnoughSamples) return undefined;
    return { ...this.readSlowdownParameters(), knee: this.knee.readFactor() };
  }

  /** Takes what others have learnt, until enough was seen here. */
  restoreLearnedState(state: LearnedServiceState): void {
    this.slowdownModel.setPrior(state);
    this.knee.setPrior(state.knee);
  }

  /** Counts the targets that take no more than a rate that they name. */
  countLimited(): number {
    return this.#countTargets(({ advertisedRate }) => advertisedRate.isLimited);
  }

  /** Counts the targets that new calls may go to. */
  countUsable(): number {
    return this.#countTargets(({ isUsable }) => isUsable);
  }

  /** Counts the targets that have said that they drain. */
  countDraining(): number {
    return this.#countTargets(({ availability }) => availability.draining !== undefined);
  }

  /** Counts the targets that want nothing from this daemon now. */
  countBackedOff(): number {
    const now = this.options.clock.now();
    return this.#countTargets(({ availability }) => availability.isBackedOff(now));
  }

  #countTargets(isCounted: (target: GatewayTarget) => boolean): number {
    let count = 0;
    for (const target of this.targets.values()) if (isCounted(target)) count += 1;
    return count;
  }

  /** Learns from one call how long calls take at a usual target. */
  recordWork(work: number): void {
    this.#work.add(work, this.options.clock.now());
  }

  /** Takes it that targets came, went or changed. */
  clearCandidatePool(): void {
    this.#candidatePool = undefined;
  }

  #getCandidatePool(): CandidatePool<GatewayTarget> {
    if (this.#candidatePool !== undefined) return this.#candidatePool;
    const sameDomain: GatewayTarget[] = [];
    const otherDomains: GatewayTarget[] = [];
    for (const target of this.targets.values()) {
      (target.record.domain === this.options.domain ? sameDomain : otherDomains).push(target);
    }
    this.#candidatePool = { sameDomain, otherDomains };
    return this.#candidatePool;
  }

  /**
   * Advises a call that has tried some targets already. One under which a target has ended goes where no other such
   * call runs, to a target that has run for long where there is one.
   *
   * @param callsAhead calls that go first
   */
  chooseTarget(request: PlacementRequest, callsAhead: number): TargetChoice<GatewayTarget> {
    const { suspect } = request;
    let isLimited = false;
    let isBackedOff = false;
    const mayGetCall = (target: GatewayTarget) => {
      if (!this.#isEligible(target, request)) {
        isBackedOff ||= target.isBackedOff;
        return false;
      }
      const isExhausted = this.rateLimits.isExhausted(target);
      isLimited ||= isExhausted;
      return !isExhausted;
    };
    if (suspect === undefined) {
      const choice = this.#chooseAmong(mayGetCall, request, callsAhead);
      if (isLimited && choice.kind === 'now') this.rateLimitDiversions += 1;
      if (isBackedOff && choice.kind === 'now') this.backoffDiversions += 1;
      return choice.kind === 'none' ? this.#planRateLimitWait(request) : choice;
    }
    const now = this.options.clock.wall();
    const isAllowed = (target: GatewayTarget) =>
      mayGetCall(target) && !suspect.avoidedReleases.includes(readRelease(target.record));
    const hasNoSuspects = (target: GatewayTarget) => isAllowed(target) && target.suspectCalls === 0;
    const isLongRunning = (target: GatewayTarget) =>
      hasNoSuspects(target) && now - target.record.born > MIN_LONG_RUNNING_AGE_MS;
    for (const isPreferred of [isLongRunning, hasNoSuspects]) {
      const choice = this.#chooseAmong(isPreferred, request, callsAhead);
      // A suspect that waited for one of few targets would hold up who waits behind it.
      if (choice.kind === 'now') return choice;
    }
    const choice = this.#chooseAmong(isAllowed, request, callsAhead);
    return choice.kind === 'none' ? { kind: 'none', wait: this.readBackoffRemaining() } : choice;
  }

  /** Whether a call may go to a target that has room. */
  #isEligible(target: GatewayTarget, { tried, regions }: PlacementRequest): boolean {
    if (!target.isUsable || tried.has(target)) return false;
    return regions === undefined || this.#isInRegions(target, regions);
  }

  #isInRegions({ record }: GatewayTarget, regions: readonly string[]): boolean {
    const region = this.options.findRegion(record.domain);
    return region !== undefined && regions.includes(region);
  }

  /** Advises a call where all that is left has had what it takes: to wait for more of that, if some falls to us. */
  #planRateLimitWait(request: PlacementRequest): TargetChoice<GatewayTarget> {
    let rate = 0;
    for (const target of this.targets.values()) {
      if (this.#isEligible(target, request)) rate += this.rateLimits.read(target);
    }
    if (rate === 0) return this.#planBackoffWait(request);
    return {
      kind: 'wait',
      pace: MS_PER_SECOND / rate / request.work,
      slowdown: 1,
      limit: 'rate-limit',
    };
  }

  /** Advises a call where every target that it could go to wants nothing for a time. */
  #planBackoffWait({ tried, regions }: PlacementRequest): TargetChoice<GatewayTarget> {
    const now = this.options.clock.now();
    let slots = 0;
    let opensAt = Infinity;
    for (const target of this.targets.values()) {
      if (!target.isBackedOff || tried.has(target)) continue;
      if (regions !== undefined && !this.#isInRegions(target, regions)) continue;
      slots += target.record.slots;
      opensAt = Math.min(opensAt, target.availability.backoffUntil);
    }
    if (slots === 0) return { kind: 'none', wait: this.readBackoffRemaining() };
    const opensIn = Math.max(0, opensAt - now);
    return { kind: 'wait', pace: 1 / slots, slowdown: 1, limit: 'backoff', opensIn };
  }

  /** Time until the first target takes calls again; undefined where one does, or none has asked for a back-off. */
  readBackoffRemaining(): number | undefined {
    const now = this.options.clock.now();
    let remaining: number | undefined;
    for (const target of this.targets.values()) {
      if (target.isUsable) return undefined;
      if (!target.isBackedOff) continue;
      remaining = Math.min(remaining ?? Infinity, target.availability.backoffUntil - now);
    }
    return remaining;
  }

  #chooseAmong(
    isUsable: (target: GatewayTarget) => boolean,
    { bodyBytes }: PlacementRequest,
    callsAhead: number,
  ): TargetChoice<GatewayTarget> {
    const { random, domain } = this.options;
    const candidates = drawCandidates(this.#getCandidatePool(), { random, isUsable });
    const homes = this.options.countHomes();
    const reportingHomes = this.options.countReportingHomes();
    const context = {
      slowdownParameters: this.readSlowdownParameters(),
      domain,
      homes,
      reportingHomes,
      knee: this.knee,
    };
    return chooseTarget(candidates, (target) => target.createCandidateLoad(context), {
      ...{
        callsAhead,
        callRatio: this.#measureCallRatio(homes, reportingHomes),
        random,
        bodyBytes,
      },
      targetsPerCandidate: Math.max(1, this.targets.size / MAX_CANDIDATES),
    });
  }

  /**
   * How many times this daemon's calls all daemons have at the targets: it gets that part of the slots.
   * After a restart callers meet at one home, whose part is nearly all.
   */
  #measureCallRatio(homes: number, reportingHomes: number): number {
    const now = this.options.clock.now();
    if (now - this.#callRatioMeasuredAt < CALL_RATIO_INTERVAL_MS) return this.#readCallRatio(homes);
    this.#callRatioMeasuredAt = now;
    let ownCalls = 0;
    let allCalls = 0;
    for (const { load, isUsable } of this.targets.values()) {
      if (!isUsable) continue;
      ownCalls += load.inFlight;
      allCalls += load.countCalls(now, homes, reportingHomes);
    }
    if (ownCalls > 0) this.#callRatio.add(Math.max(1, allCalls / ownCalls), now);
    return this.#readCallRatio(homes);
  }

  #readCallRatio(homes: number): number {
    return Math.min(Math.max(1, homes), this.#callRatio.read(homes));
  }
}
