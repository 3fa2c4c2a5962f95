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

const SECOND = 1000;

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
const SHARERS_HALF_LIFE = 300;

/** The others tell of their calls this often, in milliseconds. */
const SHARERS_PACE = 20;

/** Calls of a service change little; this follows some hundreds of them. */
const TIME_HALF_LIFE = 3000;

/**
 * A target that has run for this long, in milliseconds, is not one of those that end every few seconds: what is lost
 * there was not lost by chance.
 */
const STEADY_AGE = 20_000;

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

  readonly #time = new DecayingMean(TIME_HALF_LIFE);

  readonly #sharers = new DecayingMean(SHARERS_HALF_LIFE);

  #sharersAt = -Infinity;

  #pool: CandidatePool<GatewayTarget> | undefined;

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
    this.queue = new SlotQueue(options.clock, options.random, (call, ahead) =>
      this.chooseTarget(call, ahead),
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
    return this.#time.read(fallback);
  }

  /** What others may start from; undefined before enough was seen here. */
  readLearnedState(): LearnedServiceState | undefined {
    if (!this.slowdownModel.hasEnoughSamples) return undefined;
    return { ...this.readSlowdownParameters(), knee: this.knee.readFactor() };
  }

  /** Takes what others have learnt, until enough was seen here. */
  restoreLearnedState(lesson: LearnedServiceState): void {
    this.slowdownModel.setPrior(lesson);
    this.knee.setPrior(lesson.knee);
  }

  /** Counts the targets that take no more than a rate that they name. */
  countLimited(): number {
    return this.#countTargets(({ advertisedRate: named }) => named.isLimited);
  }

  /** Counts the targets that new calls may go to. */
  countUsable(): number {
    return this.#countTargets(({ isUsable }) => isUsable);
  }

  /** Counts the targets that have said that they drain. */
  countDraining(): number {
    return this.#countTargets(({ availability: standing }) => standing.draining !== undefined);
  }

  /** Counts the targets that want nothing from this daemon now. */
  countBackedOff(): number {
    const now = this.options.clock.now();
    return this.#countTargets(({ availability: standing }) => standing.isBackedOff(now));
  }

  #countTargets(isCounted: (target: GatewayTarget) => boolean): number {
    let count = 0;
    for (const target of this.targets.values()) if (isCounted(target)) count += 1;
    return count;
  }

  /** Learns from one call how long calls take at a usual target. */
  recordWork(time: number): void {
    this.#time.add(time, this.options.clock.now());
  }

  /** Takes it that targets came, went or changed. */
  noteChange(): void {
    this.#pool = undefined;
  }

  #readPool(): CandidatePool<GatewayTarget> {
    if (this.#pool !== undefined) return this.#pool;
    const near: GatewayTarget[] = [];
    const far: GatewayTarget[] = [];
    for (const target of this.targets.values()) {
      (target.record.domain === this.options.domain ? near : far).push(target);
    }
    this.#pool = { sameDomain: near, otherDomains: far };
    return this.#pool;
  }

  /**
   * Advises a call that has tried some targets already. One under which a target has ended goes where no other such
   * call runs, to a target that has run for long where there is one.
   *
   * @param ahead calls that go first
   */
  chooseTarget(wish: PlacementRequest, ahead: number): TargetChoice<GatewayTarget> {
    const { suspect: care } = wish;
    let isLimited = false;
    let isBackedOff = false;
    const mayTake = (target: GatewayTarget) => {
      if (!this.#isOpenTo(target, wish)) {
        isBackedOff ||= target.isBackedOff;
        return false;
      }
      const isSpent = this.rateLimits.isExhausted(target);
      isLimited ||= isSpent;
      return !isSpent;
    };
    if (care === undefined) {
      const advice = this.#chooseAmong(mayTake, wish, ahead);
      if (isLimited && advice.kind === 'now') this.rateLimitDiversions += 1;
      if (isBackedOff && advice.kind === 'now') this.backoffDiversions += 1;
      return advice.kind === 'none' ? this.#adviseLimited(wish) : advice;
    }
    const now = this.options.clock.wall();
    const isAllowed = (target: GatewayTarget) =>
      mayTake(target) && !care.avoidedReleases.includes(readRelease(target.record));
    const isApart = (target: GatewayTarget) => isAllowed(target) && target.suspectCalls === 0;
    const isSteady = (target: GatewayTarget) =>
      isApart(target) && now - target.record.born > STEADY_AGE;
    for (const isFit of [isSteady, isApart]) {
      const advice = this.#chooseAmong(isFit, wish, ahead);
      // A suspect that waited for one of few targets would hold up who waits behind it.
      if (advice.kind === 'now') return advice;
    }
    const advice = this.#chooseAmong(isAllowed, wish, ahead);
    return advice.kind === 'none' ? { kind: 'none', wait: this.readBackoffRemaining() } : advice;
  }

  /** Whether a call may go to a target that has room. */
  #isOpenTo(target: GatewayTarget, { tried, regions }: PlacementRequest): boolean {
    if (!target.isUsable || tried.has(target)) return false;
    return regions === undefined || this.#isWithin(target, regions);
  }

  #isWithin({ record }: GatewayTarget, regions: readonly string[]): boolean {
    const region = this.options.findRegion(record.domain);
    return region !== undefined && regions.includes(region);
  }

  /** Advises a call where all that is left has had what it takes: to wait for more of that, if some falls to us. */
  #adviseLimited(wish: PlacementRequest): TargetChoice<GatewayTarget> {
    let rate = 0;
    for (const target of this.targets.values()) {
      if (this.#isOpenTo(target, wish)) rate += this.rateLimits.read(target);
    }
    if (rate === 0) return this.#adviseBackoff(wish);
    return { kind: 'wait', pace: SECOND / rate / wish.work, slowdown: 1, limit: 'rate-limit' };
  }

  /** Advises a call where every target that it could go to wants nothing for a time. */
  #adviseBackoff({ tried, regions }: PlacementRequest): TargetChoice<GatewayTarget> {
    const now = this.options.clock.now();
    let slots = 0;
    let opensAt = Infinity;
    for (const target of this.targets.values()) {
      if (!target.isBackedOff || tried.has(target)) continue;
      if (regions !== undefined && !this.#isWithin(target, regions)) continue;
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
    let left: number | undefined;
    for (const target of this.targets.values()) {
      if (target.isUsable) return undefined;
      if (!target.isBackedOff) continue;
      left = Math.min(left ?? Infinity, target.availability.backoffUntil - now);
    }
    return left;
  }

  #chooseAmong(
    isUsable: (target: GatewayTarget) => boolean,
    { bodyBytes }: PlacementRequest,
    ahead: number,
  ): TargetChoice<GatewayTarget> {
    const { random, domain } = this.options;
    const drawn = drawCandidates(this.#readPool(), { random, isUsable });
    const homes = this.options.countHomes();
    const reportingHomes = this.options.countReportingHomes();
    const terms = {
      pattern: this.readSlowdownParameters(),
      domain,
      homes,
      reportingHomes,
      knee: this.knee,
    };
    return chooseTarget(drawn, (target) => target.createCandidateLoad(terms), {
      ...{
        callsAhead: ahead,
        callRatio: this.#measureSharers(homes, reportingHomes),
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
  #measureSharers(homes: number, tellers: number): number {
    const now = this.options.clock.now();
    if (now - this.#sharersAt < SHARERS_PACE) return this.#readSharers(homes);
    this.#sharersAt = now;
    let own = 0;
    let all = 0;
    for (const { load: belief, isUsable } of this.targets.values()) {
      if (!isUsable) continue;
      own += belief.inFlight;
      all += belief.countCalls(now, homes, tellers);
    }
    if (own > 0) this.#sharers.add(Math.max(1, all / own), now);
    return this.#readSharers(homes);
  }

  #readSharers(homes: number): number {
    return Math.min(Math.max(1, homes), this.#sharers.read(homes));
  }
}
