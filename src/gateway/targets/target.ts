/** One target as this daemon uses it: its entry in the list, its load, its failures, its connections. */
import {
  FailureRate,
  type KneeEstimate,
  LoadEstimate,
  AdvertisedRate,
  type RateAnnouncement,
  type CandidateLoad,
  RateLimiter,
  SlowdownHistory,
  SendCounter,
  type SlowdownModel,
  type SlowdownParameters,
  type Availability,
  WarmUpState,
} from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
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
import { hashIncarnation } from './incarnation-hash.js';
import type { TargetListener } from './target-events.js';

/** A target where a call is stuck is avoided for this long, in milliseconds, unless another one is. */
const STUCK_AVOIDANCE_MS = 1500;

/** A target that ran slow after its start works this many times longer at first; told by the users. */
const COLD_START_SLOWDOWN = 2;

/** A target that has spoilt the order of answers gets a new connection for each call this long. */
const NO_REUSE_MS = 10_000;

/**
 * A call that was lost this long before a later start of the target was heard of may have ended it, in milliseconds:
 * some heartbeats, as a supervisor may start a process again before anybody finds that nobody listens.
 */
const LOSS_RETENTION_MS = 5000;

/** Calls remembered as lost: some times what a target runs at once. */
const MAX_LOSSES = 32;

interface LostCall {
  readonly at: number;
  readonly onEnded: () => void;
}

/** Reports this slow make calls there look for another target. */
const SLOW_THRESHOLD = 2.5;

/** What a view of a target depends on besides the target. */
export interface CandidateContext {
  /** How slow the targets of the service are, and for how long one stays so. */
  readonly slowdownParameters: SlowdownParameters;
  /** The failure domain of this daemon. */
  readonly domain: string;
  /** Daemons that send calls to the target. */
  readonly homes: number;
  /** Other homes that have told of their calls of late. */
  readonly reportingHomes: number;
  readonly knee: KneeEstimate;
}

/** The answer that a target's report came with. */
export interface ReportOrigin {
  /** When the request was sent, in milliseconds on this daemon's clock. */
  readonly sentAt: number;
  /** This daemon's calls that the report may count. */
  readonly ownCalls: number;
  /** Whether it is a good answer to a call; only such a one says by its silence that the target names no rate. */
  readonly isSuccess: boolean;
}

/** What a target in use is made from. */
export interface GatewayTargetOptions {
  /** What its service learns from its reports. */
  readonly slowdownModel: SlowdownModel;
  /** Called for each connection opened. */
  readonly onConnectionOpened: () => void;
  readonly listener: TargetListener;
  /** What this incarnation has said before. */
  readonly availability: Availability;
}

/** The release of a target; those that say none count as one. */
export function readRelease({ release = '' }: TargetRecord): string {
  return release;
}

/** A target in use. */
export class GatewayTarget {
  readonly load = new LoadEstimate();

  readonly connections: TargetConnections;

  /** Its last reports of how slow it is. */
  readonly slowdownHistory: SlowdownHistory;

  /** Until when it is cold, as far as is known. */
  readonly warmUp = new WarmUpState();

  /** What came of its calls of late. */
  readonly failureRate = new FailureRate();

  /** The rate that it has said it takes. */
  readonly advertisedRate = new AdvertisedRate();

  /** What it has said of whether it takes requests from here. */
  readonly availability: Availability;

  /** What this daemon may send there while all of them keep to a rate. */
  readonly rateLimiter = new RateLimiter();

  /** Calls that were sent there of late. */
  readonly recentSends = new SendCounter();

  /** Stands for the incarnation in datagrams between daemons. */
  readonly hash: number;

  #entry: ListedTarget;

  #isUnhealthy = false;

  #avoidedUntil = -Infinity;

  #noReuseUntil = -Infinity;

  #isMisdirected = false;

  #isBackoffReported = false;

  #isClosed = false;

  #isEvacuated = false;

  /** Calls that were lost here of late, and whom to tell if the target turns out to have ended then. */
  #lostCalls: readonly LostCall[] = [];

  /** Calls from here under which targets have ended before. */
  suspectCalls = 0;

  /** When this daemon last sent a probe there. */
  lastProbeAt = -Infinity;

  /** Called when the target has turned slow, so that calls there can look for another one. */
  readonly slowListeners = new Set<() => void>();

  constructor(
    entry: ListedTarget,
    private readonly clock: Clock,
    private readonly options: GatewayTargetOptions,
  ) {
    const { slowdownModel, onConnectionOpened, availability } = options;
    this.availability = availability;
    this.#entry = entry;
    this.warmUp.suspectCold(entry.coldUntil);
    this.slowdownHistory = new SlowdownHistory(slowdownModel);
    this.hash = hashIncarnation(entry.record.incarnation, entry.record.born);
    this.connections = new TargetConnections(entry.record.address, clock, onConnectionOpened);
  }

  /** The target's entry. */
  get record(): TargetRecord {
    return this.#entry.record;
  }

  /** Whether new calls may go there. */
  get isUsable(): boolean {
    return this.#isEligible && !this.availability.isBackedOff(this.clock.now());
  }

  /** Whether it wants nothing from this daemon for a time, and would get calls otherwise. */
  get isBackedOff(): boolean {
    return this.#isEligible && this.availability.isBackedOff(this.clock.now());
  }

  get #isEligible(): boolean {
    return !this.#isLeaving && !this.#isMisdirected && !this.#isEvacuated;
  }

  /**
   * Whether the target has ended without having said that it would. One that resets a connection, is cut off or
   * frozen has not: of those nobody refuses a new connection.
   */
  async checkEnded(): Promise<boolean> {
    if (this.#isLeaving) return false;
    const listenState = await this.connections.checkListening();
    return listenState === 'nobody' && !this.#isLeaving;
  }

  /** Notes that a call was lost here, without a sign that the target ended. */
  recordLoss(onEnded: () => void): void {
    const at = this.clock.now();
    const recent = this.#lostCalls.filter((loss) => at - loss.at < LOSS_RETENTION_MS);
    this.#lostCalls = [...recent, { at, onEnded }].slice(-MAX_LOSSES);
  }

  /** Notes that the target is in use no more. @param isRestarted whether a later start took its name */
  close(isRestarted: boolean): void {
    this.#isClosed = true;
    this.connections.close();
    const lostCalls = this.#lostCalls;
    this.#lostCalls = [];
    if (!isRestarted || this.#isDraining) return;
    const now = this.clock.now();
    for (const { at, onEnded } of lostCalls) if (now - at < LOSS_RETENTION_MS) onEnded();
  }

  get #isLeaving(): boolean {
    return this.#isClosed || this.#isDraining;
  }

  get #isDraining(): boolean {
    return this.record.state === 'draining' || this.availability.draining !== undefined;
  }

  /**
   * Takes a newer entry.
   *
   * @param isEvacuated whether its failure domain takes no calls
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

  /** Whether its failure domain takes no calls. */
  get isEvacuated(): boolean {
    return this.#isEvacuated;
  }

  /** Counts a call that is sent there now. */
  start(now: number): void {
    this.load.start(now);
    this.recentSends.record(now);
    this.rateLimiter.take();
  }

  /** Views the target for the choice. */
  createCandidateLoad({
    slowdownParameters,
    domain,
    homes,
    reportingHomes,
    knee,
  }: CandidateContext): CandidateLoad {
    const now = this.clock.now();
    return {
      slots: knee.findConcurrencyLimit(this.record.slots),
      calls: this.load.countCalls(now, homes, reportingHomes),
      slowdown: this.slowdownHistory.estimate(now, slowdownParameters),
      coldFactor: this.warmUp.isCold(now) ? COLD_START_SLOWDOWN : 1,
      failureRatio: this.failureRate.read(now),
      // What runs beside a suspect may end with it, so others go elsewhere while there is room.
      isSuspect: this.#isUnhealthy || now < this.#avoidedUntil || this.suspectCalls > 0,
      isOtherDomain: this.record.domain !== domain,
    };
  }

  /** Notes that a call failed there; where the target has asked for a back-off, that alone keeps calls away. */
  recordFailure(): void {
    if (this.availability.isBackedOff(this.clock.now())) return;
    this.failureRate.recordFailure(this.clock.now());
  }

  /** Notes that a call was answered well there. */
  recordSuccess(): void {
    this.failureRate.recordSuccess(this.clock.now());
  }

  /** Notes that a call has been there for far too long. */
  recordStuckCall(): void {
    this.#avoidedUntil = this.clock.now() + STUCK_AVOIDANCE_MS;
  }

  /** Notes that bytes came that belong to no call: connections are not used twice for a while. */
  recordStrayBytes(): void {
    this.#noReuseUntil = this.clock.now() + NO_REUSE_MS;
    this.connections.close();
  }

  /** Whether a connection may carry a second call. */
  get isReuseSafe(): boolean {
    return this.clock.now() >= this.#noReuseUntil;
  }

  /** Notes that another incarnation answers at this address. */
  recordMisdirected(): void {
    this.#isMisdirected = true;
  }

  /** Takes the outcome of a health check. */
  recordHealth(isHealthy: boolean): void {
    this.#isUnhealthy = !isHealthy;
  }

  /** Takes what the head of an answer says. */
  receiveReport(report: SelfReport, { sentAt, ownCalls, isSuccess }: ReportOrigin): void {
    const { incarnation = this.record.incarnation } = report;
    if (report.isMisdirected || incarnation !== this.record.incarnation) {
      this.recordMisdirected();
      return;
    }
    const now = this.clock.now();
    if (report.coldLeft !== undefined) this.warmUp.observe(report.coldLeft, now);
    this.recordLoad(report.load, ownCalls);
    if (isSuccess || report.rate.kind !== 'silent') this.#receiveRate(report.rate, sentAt);
    this.receiveDraining(report.draining);
    this.#receiveBackoff(report.backoff);
  }

  /** Takes whether an answer says that the target drains. */
  receiveDraining(reported: ReportedDraining): void {
    const { listener } = this.options;
    if (reported.kind === 'unreadable') {
      listener.onUnreadableHeader(this, { field: 'draining', what: reported.text });
    }
    if (reported.kind === 'draining') this.#recordDraining(this.clock.now());
  }

  /** Takes it from another daemon that the target drains. @param age how long ago it said so, in milliseconds */
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

  /** Tells once that a back-off is over. */
  checkBackoffEnd(): void {
    if (!this.#isBackoffReported || this.availability.isBackedOff(this.clock.now())) return;
    this.#isBackoffReported = false;
    this.options.listener.onBackoffEnd(this);
  }

  /** Takes a load report. @param ownCalls this daemon's calls that the report may count */
  recordLoad(report: LoadReport | undefined, ownCalls: number): void {
    if (report === undefined) return;
    const before = this.load.lastSlowdown;
    this.load.observeReport(report, ownCalls, this.clock.now());
    this.slowdownHistory.record(report.slowdown, this.clock.now());
    this.#announceIfSlow(before);
  }

  /**
   * Takes what an answer says of the rate.
   *
   * @param sentAt when the call was sent: an answer that names no rate was made after that, and nothing else is known
   *   of when, so it ends no rate that was named since
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

  /** @param home the daemon that told of it, when the target itself did not */
  #recordRate(announcement: RateAnnouncement, home?: string): void {
    const now = this.clock.now();
    const change = this.advertisedRate.observe(announcement, now, home === undefined);
    if (change === undefined) return;
    const { listener } = this.options;
    listener.onRateChange(this, { ...change, age: now - announcement.at, from: home ?? 'target' });
  }

  /** Takes what another home knows of the target. */
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
