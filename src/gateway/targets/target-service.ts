/** One service as this daemon uses it: its targets, and the choice of a target for each call. */
import type { Clock, Random } from '../../kernel/index.js';
import {
  type TargetChoice,
  type CandidateLoad,
  type CandidatePool,
  type ChoiceTerms,
  type FleetShare,
  MAX_CANDIDATES,
  DecayingMean,
  KneeEstimate,
  RateMeter,
  SlowdownModel,
  type SlowdownParameters,
  ReachEstimate,
  type ReachTimes,
  TrialBudget,
  type TrialCall,
  WindowBudget,
  chooseTarget,
  drawCandidates,
} from '../../balance/index.js';
import type { LearnedServiceState } from '../learned-state.js';
import { type ColdStartLimits, LocalRateLimits } from './local-rate-limits.js';
import { type PlacementRequest, SlotQueue } from './slot-queue.js';
import { type CandidateContext, type GatewayTarget, readRelease } from './target.js';

const MS_PER_SECOND = 1000;

/** Options of a service. */
export interface TargetServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly domain: string;
  /** Finds the region of a failure domain; undefined when the domain is assigned to none. */
  readonly findRegion: (domain: string) => string | undefined;
  /** Number of home daemons, which share the targets. */
  readonly countHomes: () => number;
  /** Number of other homes that sent load reports recently. */
  readonly countReportingHomes: () => number;
  /** Returns the rate limit of cold targets of a service, and how long a cold start lasts. */
  readonly readColdStartLimits: (service: string) => ColdStartLimits;
  /** Returns this daemon's part of rates that all daemons share. */
  readonly readShare: () => FleetShare;
  /** Creates the retry budget of one service. */
  readonly createRetryBudget: () => WindowBudget;
  readonly reachTimes: ReachTimes;
}

/** Half-life of the ratio of all daemons' calls to this daemon's: the time of a few calls. */
const CALL_RATIO_HALF_LIFE_MS = 300;

/** How often the ratio is measured: as often as other homes report their load. */
const CALL_RATIO_INTERVAL_MS = 20;

/** The time of calls changes little; this averages over some hundreds of them. */
const WORK_HALF_LIFE_MS = 3000;

/**
 * From this age on a target is not one of those that restart every few seconds: if it ends while it
 * runs a call, that is not taken for coincidence.
 */
const MIN_LONG_RUNNING_AGE_MS = 20_000;

/** Where a call is in the queue, as far as its choice of a target depends on it. */
type QueuePlace = Pick<ChoiceTerms, 'callsAhead' | 'position'>;

/** One service as this daemon uses it: its targets, waiting calls and learned state. */
export class TargetService {
  readonly targets = new Map<string, GatewayTarget>();

  /** Rate at which calls arrive at this daemon. */
  readonly callRate: RateMeter;

  /** When the last call arrived, in milliseconds on this daemon's clock. */
  lastCallAt = -Infinity;

  /** Limits retries to a share of the calls. */
  readonly retryBudget: WindowBudget;

  /** Limits trials of targets that have failed to a share of the calls. */
  readonly #trialBudget = new TrialBudget();

  /** Calls sent to targets that are avoided because of their failures, since the start. */
  failureTrials = 0;

  /** Calls that wait for a target. */
  readonly queue: SlotQueue;

  /** How much longer calls take at nearly full targets. */
  readonly knee = new KneeEstimate();

  /** Rate limits of its targets for this daemon. */
  readonly rateLimits: LocalRateLimits;

  /** Whether this daemon reaches any of the targets. */
  readonly reach: ReachEstimate;

  /** Called when this daemon turns out to reach none of the targets. */
  readonly lostListeners = new Set<() => void>();

  /** Slowdown model, which learns from the reports of its targets. */
  readonly slowdownModel = new SlowdownModel();

  readonly #work = new DecayingMean(WORK_HALF_LIFE_MS);

  readonly #callRatio = new DecayingMean(CALL_RATIO_HALF_LIFE_MS);

  #callRatioMeasuredAt = -Infinity;

  #candidatePool: CandidatePool<GatewayTarget> | undefined;

  /** Calls that went to another target because of a rate limit, since the start. */
  rateLimitDiversions = 0;

  /** Calls that went to another target because of a back-off, since the start. */
  backoffDiversions = 0;

  constructor(
    readonly name: string,
    private readonly options: TargetServiceOptions,
  ) {
    this.callRate = new RateMeter(options.clock.now());
    this.retryBudget = options.createRetryBudget();
    this.reach = new ReachEstimate(options.reachTimes);
    this.rateLimits = new LocalRateLimits({
      ...{ clock: options.clock, readShare: options.readShare },
      readColdStartLimits: () => options.readColdStartLimits(name),
    });
    this.queue = new SlotQueue(options.clock, options.random, (call, callsAhead, position) =>
      this.chooseTarget(call, callsAhead, position),
    );
  }

  /** Whether this daemon reaches a target of the service, as far as it knows. */
  get isReached(): boolean {
    return !this.reach.isLost(this.options.clock.now());
  }

  /** Whether this daemon has a call in flight to any target. */
  get hasCallInFlight(): boolean {
    for (const { load } of this.targets.values()) if (load.inFlight > 0) return true;
    return false;
  }

  /**
   * Tells the calls in progress that this daemon reaches none of the targets, and closes the idle
   * connections, which may never carry anything again.
   */
  announceLost(): void {
    for (const target of this.targets.values()) target.connections.close();
    for (const listener of [...this.lostListeners]) listener();
  }

  /** Forgets what was observed through a partition. */
  clearFailures(): void {
    for (const target of this.targets.values()) target.clearFailures();
    this.queue.pump();
  }

  /**
   * Counts a call that arrives.
   *
   * @param isBudgeted whether another daemon has counted it for its retry budget
   */
  recordCall(isBudgeted = false): void {
    this.lastCallAt = this.options.clock.now();
    this.callRate.add(this.lastCallAt);
    if (!isBudgeted) this.retryBudget.recordRequest();
    this.#trialBudget.recordCall();
  }

  /** Returns the typical slowdowns of the service's targets, and how long a report stays valid. */
  readSlowdownParameters(): SlowdownParameters {
    return this.slowdownModel.read(this.options.clock.now());
  }

  /**
   * Returns the mean time of a call at a typical idle target, in milliseconds; `fallback` before
   * the first call.
   */
  readWork(fallback: number): number {
    return this.#work.read(fallback);
  }

  /**
   * Returns the learned state for daemons that start later; undefined before enough was observed
   * here.
   */
  readLearnedState(): LearnedServiceState | undefined {
    if (!this.slowdownModel.hasEnoughSamples) return undefined;
    return {
      ...this.readSlowdownParameters(),
      knee: this.knee.readFactor(),
      ...{ samples: this.slowdownModel.sampleCount, at: this.options.clock.wall() },
    };
  }

  /** Applies learned state of other daemons, used until enough has been observed here. */
  restoreLearnedState(state: LearnedServiceState): void {
    this.slowdownModel.setPrior(state);
    this.knee.setPrior(state.knee);
  }

  /** Counts the targets that advertise a rate. */
  countLimited(): number {
    return this.#countTargets(({ advertisedRate }) => advertisedRate.isLimited);
  }

  /** Counts the targets that may get new calls. */
  countUsable(): number {
    return this.#countTargets(({ isUsable }) => isUsable);
  }

  /** Counts the targets that stated that they are draining. */
  countDraining(): number {
    return this.#countTargets(({ availability }) => availability.draining !== undefined);
  }

  /** Counts the targets that asked this daemon for a back-off that lasts still. */
  countBackedOff(): number {
    const now = this.options.clock.now();
    return this.#countTargets(({ availability }) => availability.isBackedOff(now));
  }

  /** Counts the targets that get fewer calls because they reset connections when they were full. */
  countFull(): number {
    return this.#countTargets(({ full }) => full.isFull);
  }

  /** Counts the targets that fail nearly all calls. */
  countFailing(): number {
    return this.#countTargets(({ isFailing }) => isFailing);
  }

  /**
   * Takes a retry from the budget; false if none is allowed. Where only failing targets are left,
   * half of the budget is kept for the time when one has recovered.
   */
  spendRetry(tried: ReadonlySet<GatewayTarget>): boolean {
    if (!this.#hasReliableTarget(tried) && !this.retryBudget.isHalfLeft()) return false;
    return this.retryBudget.spend();
  }

  #hasReliableTarget(tried: ReadonlySet<GatewayTarget>): boolean {
    for (const target of this.targets.values()) {
      if (target.isUsable && !target.isFailing && !tried.has(target)) return true;
    }
    return false;
  }

  #countTargets(isCounted: (target: GatewayTarget) => boolean): number {
    let count = 0;
    for (const target of this.targets.values()) if (isCounted(target)) count += 1;
    return count;
  }

  /** Records how long a call would have taken at a typical idle target, in milliseconds. */
  recordWork(work: number): void {
    this.#work.add(work, this.options.clock.now());
  }

  /** Clears the cached candidate pool after targets were added, removed or changed. */
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
   * Chooses a target for a call, or advises it to wait. A suspected poison request goes to a target
   * where no other suspect runs, preferably to one that has run for long.
   *
   * @param callsAhead calls that go first
   * @param position number of calls before a waiting call in the queue
   */
  chooseTarget(
    request: PlacementRequest,
    callsAhead: number,
    position = callsAhead,
  ): TargetChoice<GatewayTarget> {
    const place = { callsAhead, position };
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
      const choice = this.#chooseAmong(mayGetCall, request, place);
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
      const choice = this.#chooseAmong(isPreferred, request, place);
      // A suspect that waited for one of few targets would delay the calls queued behind it.
      if (choice.kind === 'now') return choice;
    }
    const choice = this.#chooseAmong(isAllowed, request, place);
    return choice.kind === 'none' ? { kind: 'none', wait: this.readBackoffRemaining() } : choice;
  }

  /** Whether a call may go to a target, apart from its load and rate limit. */
  #isEligible(target: GatewayTarget, { tried, regions }: PlacementRequest): boolean {
    if (!target.isUsable || tried.has(target)) return false;
    return regions === undefined || this.#isInRegions(target, regions);
  }

  #isInRegions({ record }: GatewayTarget, regions: readonly string[]): boolean {
    const region = this.options.findRegion(record.domain);
    return region !== undefined && regions.includes(region);
  }

  /**
   * Advises a call for which only rate-limited targets are left: to wait if this daemon has any
   * part of their rates.
   */
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

  /**
   * Advises a call for which only targets in back-off are left: to wait until the first back-off
   * ends.
   */
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

  /**
   * Returns the time until the first back-off ends, in milliseconds; undefined when a target is
   * usable or none is in back-off.
   */
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

  /**
   * Chooses among the targets that are not failing, or among all if there is no other. Now and then
   * a call goes to one that is avoided because of its failures, to find out whether it has
   * recovered.
   */
  #chooseAmong(
    isUsable: (target: GatewayTarget) => boolean,
    request: PlacementRequest,
    place: QueuePlace,
  ): TargetChoice<GatewayTarget> {
    const trial = request.suspect === undefined ? request.trial : undefined;
    const isOffered = (target: GatewayTarget) =>
      isUsable(target) && (!target.isFailing || (trial !== undefined && target.isTrialDue(trial)));
    const offered = this.#drawCandidates(isOffered);
    const reliable = offered.filter((target) => !target.isFailing);
    const candidates = reliable.length > 0 ? reliable : this.#drawCandidates(isUsable);
    const choice = this.#chooseByCost(candidates, request, place);
    if (trial === undefined || reliable.length === 0) return choice;
    return this.#chooseTrial(offered, trial, choice) ?? choice;
  }

  #drawCandidates(isUsable: (target: GatewayTarget) => boolean): readonly GatewayTarget[] {
    const { random } = this.options;
    return drawCandidates(this.#getCandidatePool(), { random, isUsable });
  }

  /**
   * Chooses a free target of which a trial is due, preferably one without a success yet, as far as
   * the share of trials in all calls allows it.
   */
  #chooseTrial(
    candidates: readonly GatewayTarget[],
    trial: TrialCall,
    { kind }: TargetChoice<GatewayTarget>,
  ): TargetChoice<GatewayTarget> | undefined {
    const context = this.#createCandidateContext();
    let best: { readonly candidate: GatewayTarget; readonly load: CandidateLoad } | undefined;
    for (const candidate of candidates) {
      if (!candidate.isTrialDue(trial)) continue;
      const { successesInRow } = candidate.failureRate;
      if (best !== undefined && best.candidate.failureRate.successesInRow <= successesInRow)
        continue;
      const load = candidate.createCandidateLoad(context);
      // A slow target would answer late, and tell late.
      if (load.calls >= load.slots || load.slowdown > context.slowdownParameters.mean) continue;
      best = { candidate, load };
    }
    if (best === undefined) return undefined;
    const trialKind = best.candidate.failureTrial.findKind(trial, kind === 'wait');
    if (!this.#trialBudget.spend(trialKind)) return undefined;
    best.candidate.failureTrial.recordStart(this.options.clock.now());
    this.failureTrials += 1;
    return { kind: 'now', ...best, isTrial: true };
  }

  #createCandidateContext(): CandidateContext {
    const homes = this.options.countHomes();
    const reportingHomes = this.options.countReportingHomes();
    const callRatio = this.#measureCallRatio(homes, reportingHomes);
    return {
      slowdownParameters: this.readSlowdownParameters(),
      domain: this.options.domain,
      ...{ homes, reportingHomes, knee: this.knee },
      part: { callRatio, random: this.options.random },
    };
  }

  #chooseByCost(
    candidates: readonly GatewayTarget[],
    { bodyBytes }: PlacementRequest,
    place: QueuePlace,
  ): TargetChoice<GatewayTarget> {
    const { random } = this.options;
    const context = this.#createCandidateContext();
    const { callRatio } = context.part;
    return chooseTarget(candidates, (target) => target.createCandidateLoad(context), {
      ...{ ...place, callRatio, random, bodyBytes },
      hasFullTarget: candidates.some(({ full }) => full.isFull),
      targetsPerCandidate: Math.max(1, this.targets.size / MAX_CANDIDATES),
    });
  }

  /**
   * Measures the ratio of all daemons' calls at the targets to this daemon's. This daemon uses the
   * inverse as its part of the slots. After a restart callers meet at one home, which then gets
   * nearly all of them.
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
