/**
 * One target as this daemon uses it: its entry in the fleet view, load, failures and connections.
 */
import {
  type FailureRate,
  type FailureTrial,
  type KneeEstimate,
  LoadEstimate,
  AdvertisedRate,
  type RateAnnouncement,
  type PartTerms,
  type ResetEvidence,
  type CandidateLoad,
  RateLimiter,
  SlowdownHistory,
  SendCounter,
  type SlowdownModel,
  type SlowdownParameters,
  type Availability,
  type TrialCall,
  WarmUpState,
  judgeReset,
} from '../../balance/index.js';
import type { Clock, OpenSocket } from '../../kernel/index.js';
import type { AnswerGuard } from '../../overload/index.js';
import type {
  LoadReport,
  SelfReport,
  ReportedBackoff,
  ReportedDraining,
  ReportedRate,
  TargetRecord,
} from '../../platform/index.js';
import type { TargetLoadReport } from '../../peering/index.js';
import type { ListedTarget } from '../../view/index.js';
import { TargetConnections } from './connections.js';
import { FullState } from './full-state.js';
import { hashIncarnation } from './incarnation-hash.js';
import { type LostCall, LostCalls } from './lost-calls.js';
import { TargetFailures } from './target-failures.js';
import type { TargetListener } from './target-listener.js';

/** Expected slowdown of a target during cold start. */
const COLD_START_SLOWDOWN = 2;

/**
 * How long connections are not reused after a target sent bytes that belong to no call: every call
 * gets a new connection.
 */
const NO_REUSE_MS = 10_000;

/** From this slowdown on, calls in flight at the target look for another one. */
const SLOW_THRESHOLD = 2.5;

/** What the assessment of a target depends on besides the target. */
export interface CandidateContext {
  /** Typical slowdowns of the service's targets, and how long a report stays valid. */
  readonly slowdownParameters: SlowdownParameters;
  /** The failure domain of this daemon. */
  readonly domain: string;
  /** Number of home daemons that send calls to the target. */
  readonly homes: number;
  /** Number of other homes that sent load reports recently. */
  readonly reportingHomes: number;
  readonly knee: KneeEstimate;
  /** What this daemon's part of the limit of a full target depends on. */
  readonly part: PartTerms;
}

/** The response that carried a target's report. */
export interface ReportOrigin {
  /** When the request was sent, in milliseconds on this daemon's clock. */
  readonly sentAt: number;
  /** Calls of this daemon that the report may include. */
  readonly ownCalls: number;
  /**
   * Whether the response is a successful answer to a call. Only then does a missing rate header
   * mean that the target advertises no rate.
   */
  readonly isSuccess: boolean;
}

/** What is known of a call that got no complete answer, before a new connection is tried. */
export type LossEvidence = Pick<ResetEvidence, 'hasAnswerBytes' | 'code' | 'calls'>;

/** Why a call got no complete answer: the target has ended or was full, or the reason is unknown. */
export type LossKind = 'ended' | 'full' | 'unknown';

/** Options of a target in use. */
export interface GatewayTargetOptions {
  /** Slowdown model of the target's service, which learns from the target's reports. */
  readonly slowdownModel: SlowdownModel;
  /** Opens connections to the target. */
  readonly openSocket: OpenSocket;
  /** Watches the answers of the target. */
  readonly answerGuard?: AnswerGuard;
  /** Called for each connection that is opened. */
  readonly onConnectionOpened: () => void;
  /** Called for each connection that could not be opened. */
  readonly onConnectionFailed: (target: GatewayTarget) => void;
  /** Whether this daemon reaches another target now, so that a refusal shows something. */
  readonly confirmReach: (refusing: GatewayTarget) => Promise<boolean>;
  /** Called when bytes of the target arrived. */
  readonly onContact: () => void;
  readonly listener: TargetListener;
  /** What this incarnation stated earlier about its availability. */
  readonly availability: Availability;
}

/** Returns the release of a target; targets without one count as the same release. */
export function readRelease({ release = '' }: TargetRecord): string {
  return release;
}

/** A target in use, with everything that this daemon tracks about it. */
export class GatewayTarget {
  /** The estimate of its load: calls in flight and slowdown. */
  readonly load = new LoadEstimate();

  readonly connections: TargetConnections;

  /** Its latest slowdown reports. */
  readonly slowdownHistory: SlowdownHistory;

  /** Until when the target is in cold start, as far as known. */
  readonly warmUp = new WarmUpState();

  readonly #failures: TargetFailures;

  /** The limit of its calls after it reset connections because it was full. */
  readonly full: FullState;

  /** The request rate that the target advertises. */
  readonly advertisedRate = new AdvertisedRate();

  /** Draining and back-off, as stated by the target. */
  readonly availability: Availability;

  /** Limits this daemon's calls to its part of a rate that all daemons share. */
  readonly rateLimiter = new RateLimiter();

  /** Counts calls sent recently. */
  readonly recentSends = new SendCounter();

  /** Identifies the incarnation in datagrams between daemons. */
  readonly hash: number;

  #entry: ListedTarget;

  #noReuseUntil = -Infinity;

  #isMisdirected = false;

  #isBackoffReported = false;

  #isClosed = false;

  #isEvacuated = false;

  readonly #lostCalls: LostCalls;

  /** Number of this daemon's calls running there that are suspected poison requests. */
  suspectCalls = 0;

  /** When this daemon last sent a probe there, in milliseconds on its clock. */
  lastProbeAt = -Infinity;

  /** Called when the target becomes slow, so that its calls can look for another one. */
  readonly slowListeners = new Set<() => void>();

  constructor(
    entry: ListedTarget,
    private readonly clock: Clock,
    private readonly options: GatewayTargetOptions,
  ) {
    const { slowdownModel, openSocket, availability, listener } = options;
    this.availability = availability;
    this.#entry = entry;
    this.#lostCalls = new LostCalls(clock);
    this.#failures = new TargetFailures(clock, {
      onFailing: () => listener.onFailing(this),
      onRecovered: (time) => listener.onRecovered(this, time),
    });
    this.full = new FullState(clock, {
      readSlots: () => this.record.slots,
      onFull: (event) => listener.onFull(this, event),
      onFullEnded: (event) => listener.onFullEnded(this, event),
    });
    this.warmUp.suspectCold(entry.coldUntil);
    this.slowdownHistory = new SlowdownHistory(slowdownModel);
    this.hash = hashIncarnation(entry.record.incarnation, entry.record.born);
    this.connections = new TargetConnections(entry.record.address, {
      ...{ clock, openSocket, onOpened: options.onConnectionOpened },
      answerGuard: options.answerGuard,
      onFailed: () => options.onConnectionFailed(this),
    });
  }

  /** Failure rate of recent calls. */
  get failureRate(): FailureRate {
    return this.#failures.rate;
  }

  /** When the target gets a call although it is avoided because of its failures. */
  get failureTrial(): FailureTrial {
    return this.#failures.trial;
  }

  /** The target's entry in the fleet view. */
  get record(): TargetRecord {
    return this.#entry.record;
  }

  /** Whether the target may get new calls. */
  get isUsable(): boolean {
    return this.#isEligible && !this.availability.isBackedOff(this.clock.now());
  }

  /** Whether only a back-off that it asked this daemon for keeps new calls away. */
  get isBackedOff(): boolean {
    return this.#isEligible && this.availability.isBackedOff(this.clock.now());
  }

  get #isEligible(): boolean {
    return !this.#isLeaving && !this.#isMisdirected && !this.#isEvacuated;
  }

  /**
   * Finds out why a call got no complete answer, by opening a connection. The target has ended only
   * if that is refused: one that resets a connection, is cut off or frozen refuses none. It does
   * not count where no other target accepts one either.
   */
  async judgeLoss(loss: LossEvidence): Promise<LossKind> {
    if (this.#isLeaving) return 'unknown';
    const listenState = await this.connections.checkListening();
    const now = this.clock.now();
    const evidence = { ...loss, listenState, slots: this.record.slots };
    const kind = judgeReset({ ...evidence, reportedCalls: this.load.readReportedCalls(now) });
    switch (kind) {
      case 'full':
        return this.#isLeaving ? 'unknown' : 'full';
      case 'refused':
        return (await this.options.confirmReach(this)) && !this.#isLeaving ? 'ended' : 'unknown';
      case 'lost':
        return 'unknown';
      default:
        return kind satisfies never;
    }
  }

  /** Records a call that was lost here without a sign that the target ended. */
  recordLoss(call: LostCall): void {
    this.#lostCalls.record(call);
  }

  /** Stops using the target. @param isRestarted whether a later start took over its name */
  close(isRestarted: boolean): void {
    this.#isClosed = true;
    this.connections.close();
    this.#lostCalls.close(isRestarted && !this.#isDraining);
  }

  get #isLeaving(): boolean {
    return this.#isClosed || this.#isDraining;
  }

  get #isDraining(): boolean {
    return this.record.state === 'draining' || this.availability.draining !== undefined;
  }

  /**
   * Applies a newer entry.
   *
   * @param isEvacuated whether its failure domain is evacuated and takes no calls
   */
  update(entry: ListedTarget, isEvacuated: boolean): void {
    if (entry.coldUntil !== this.#entry.coldUntil) this.warmUp.suspectCold(entry.coldUntil);
    this.#entry = entry;
    this.#isEvacuated = isEvacuated;
  }

  /** Whether another incarnation answers at its address. */
  get isMisdirected(): boolean {
    return this.#isMisdirected;
  }

  /** Whether its failure domain is evacuated and takes no calls. */
  get isEvacuated(): boolean {
    return this.#isEvacuated;
  }

  /** Counts a call that is sent to the target now. */
  start(now: number): void {
    this.load.start(now);
    this.recentSends.record(now);
    this.rateLimiter.take();
  }

  /** Describes the target's current state for the choice among targets. */
  createCandidateLoad({
    slowdownParameters,
    domain,
    homes,
    reportingHomes,
    knee,
    part,
  }: CandidateContext): CandidateLoad {
    const now = this.clock.now();
    const slots = knee.findConcurrencyLimit(this.record.slots);
    const calls = this.load.countCalls(now, homes, reportingHomes);
    const isPartUsed = this.load.inFlight >= this.full.readPart(part);
    return {
      slots,
      calls: isPartUsed ? Math.max(calls, slots) : calls,
      slowdown: this.slowdownHistory.estimate(now, slowdownParameters),
      coldFactor: this.warmUp.isCold(now) ? COLD_START_SLOWDOWN : 1,
      failureRatio: this.failureRate.read(now),
      // Calls that run beside a suspected poison request may be lost with it, so other calls prefer
      // other targets.
      isSuspect: this.#isSuspect,
      isOtherDomain: this.record.domain !== domain,
    };
  }

  get #isSuspect(): boolean {
    return this.#failures.isSuspect || this.suspectCalls > 0;
  }

  /** Whether nearly all recent calls failed. */
  get isFailing(): boolean {
    return this.#failures.isFailing;
  }

  /** Whether a call should go there although the target is avoided because of its failures. */
  isTrialDue(call: TrialCall): boolean {
    return this.#failures.isTrialDue(call, this.load.inFlight, this.#isSuspect);
  }

  /**
   * Records a failed call. During a back-off failures don't count: the back-off alone keeps calls
   * away.
   *
   * @param mayHaveRun whether the target may have run the call
   */
  recordFailure(mayHaveRun: boolean): void {
    if (this.availability.isBackedOff(this.clock.now())) return;
    this.#failures.recordFailure(mayHaveRun);
  }

  /** Records a successful call. */
  recordSuccess(): void {
    this.#failures.recordSuccess();
  }

  /** Forgets failures that a partition of this daemon has caused. */
  clearFailures(): void {
    this.#failures.clear();
  }

  /** Records that a call has been running far too long. */
  recordStuckCall(): void {
    this.#failures.recordStuckCall();
  }

  /** Records that bytes arrived that belong to no call. For a while connections are not reused. */
  recordStrayBytes(): void {
    this.#noReuseUntil = this.clock.now() + NO_REUSE_MS;
    this.connections.close();
  }

  /** Whether a connection may carry a second call. */
  get isReuseSafe(): boolean {
    return this.clock.now() >= this.#noReuseUntil;
  }

  /** Records that another incarnation answers at the target's address. */
  recordMisdirected(): void {
    this.#isMisdirected = true;
  }

  /** Records the outcome of a health check. */
  recordHealth(isHealthy: boolean): void {
    this.#failures.recordHealth(isHealthy);
  }

  /** Applies what the head of a response states about the target. */
  receiveReport(report: SelfReport, { sentAt, ownCalls, isSuccess }: ReportOrigin): void {
    this.options.onContact();
    const { incarnation = this.record.incarnation } = report;
    if (report.isMisdirected || incarnation !== this.record.incarnation) {
      this.recordMisdirected();
      return;
    }
    const now = this.clock.now();
    if (isSuccess) {
      this.full.recordAnswer(sentAt);
      this.#lostCalls.recordAnswer(sentAt);
    }
    if (report.coldLeft !== undefined) this.warmUp.observe(report.coldLeft, now);
    this.recordLoad(report.load, ownCalls);
    if (isSuccess || report.rate.kind !== 'silent') this.#receiveRate(report.rate, sentAt);
    this.receiveDraining(report.draining);
    this.#receiveBackoff(report.backoff);
  }

  /** Applies the draining header of a response. */
  receiveDraining(reported: ReportedDraining): void {
    const { listener } = this.options;
    if (reported.kind === 'unreadable') {
      listener.onUnreadableHeader(this, { field: 'draining', what: reported.text });
    }
    if (reported.kind === 'draining') this.#recordDraining(this.clock.now());
  }

  /**
   * Applies another daemon's report that the target is draining.
   *
   * @param age time since the target announced it, in milliseconds
   */
  receivePeerDraining(from: string, age: number): void {
    this.#recordDraining(this.clock.now() - age, from);
  }

  #recordDraining(at: number, from?: string): void {
    if (!this.availability.recordDraining({ at, isDirect: from === undefined })) return;
    this.options.listener.onDraining(this, from ?? 'target', this.clock.now() - at);
  }

  #receiveBackoff(reported: ReportedBackoff): void {
    const { listener } = this.options;
    if (reported.kind === 'unreadable') {
      listener.onUnreadableHeader(this, { field: 'backoff', what: reported.text });
    }
    if (reported.kind !== 'asked') return;
    if (this.availability.recordBackoff(reported.time, this.clock.now())) {
      this.#isBackoffReported = true;
      listener.onBackoff(this, reported.time);
    }
  }

  /** Reports the end of a back-off, once for each. */
  checkBackoffEnd(): void {
    if (!this.#isBackoffReported || this.availability.isBackedOff(this.clock.now())) return;
    this.#isBackoffReported = false;
    this.options.listener.onBackoffEnd(this);
  }

  /** Applies a load report. @param own calls of this daemon that the report may include */
  recordLoad(report: LoadReport | undefined, ownCalls: number): void {
    if (report === undefined) return;
    const before = this.load.lastSlowdown;
    this.load.observeReport(report, ownCalls, this.clock.now());
    this.slowdownHistory.record(report.slowdown, this.clock.now());
    this.#announceIfSlow(before);
  }

  /**
   * Applies the rate header of a response.
   *
   * @param sentAt when the call was sent. A response without a rate was produced at an unknown time
   * after that, so it ends only rates that were advertised before.
   */
  #receiveRate(reported: ReportedRate, sentAt: number): void {
    switch (reported.kind) {
      case 'named':
        this.#recordRate({ rate: reported.rate, at: this.clock.now() });
        return;
      case 'unreadable':
        this.options.listener.onUnreadableHeader(this, { field: 'rate', what: reported.text });
        this.#recordRate({ rate: undefined, at: sentAt });
        return;
      case 'silent':
        this.#recordRate({ rate: undefined, at: sentAt });
        return;
      default:
        reported satisfies never;
    }
  }

  /** @param home the daemon that relayed the rate, when it does not come from the target itself */
  #recordRate(announcement: RateAnnouncement, home?: string): void {
    const now = this.clock.now();
    const change = this.advertisedRate.observe(announcement, now, home === undefined);
    if (change === undefined) return;
    const { listener } = this.options;
    listener.onRateChange(this, { ...change, age: now - announcement.at, from: home ?? 'target' });
  }

  /** Applies a load report of another home. */
  receivePeerLoad(
    home: string,
    { inFlight, slowdown, age, advertisedRate }: TargetLoadReport,
  ): void {
    const now = this.clock.now();
    if (advertisedRate !== undefined)
      this.#recordRate({ rate: advertisedRate.rate, at: now - advertisedRate.age }, home);
    const before = this.load.lastSlowdown;
    this.load.observeHomeCalls(home, inFlight, now);
    const isNewer = slowdown !== undefined && this.load.observeSlowdown(slowdown, now - age);
    if (isNewer) this.slowdownHistory.record(slowdown, now - age);
    this.#announceIfSlow(before);
  }

  #announceIfSlow(before: number): void {
    if (before >= SLOW_THRESHOLD || this.load.lastSlowdown < SLOW_THRESHOLD) return;
    for (const listener of [...this.slowListeners]) listener();
  }
}
