/** Probes targets for their load, while this daemon receives calls for them. */
import http from 'node:http';
import { getPairHash } from '../../balance/home.js';
import { computeProbeInterval } from '../../balance/index.js';
import { type Clock, scheduleLagTolerantTimeout } from '../../kernel/index.js';
import { decodeSelfReport } from '../../platform/index.js';
import { HIGH_UTILISATION } from '../../peering/index.js';
import { findResponseFault } from '../../proxy/answer-check.js';
import type { RouteTable } from '../../routing/index.js';
import type { TargetConnection } from './connections.js';
import type { GatewayTarget } from './target.js';
import type { TargetService } from './target-service.js';
import type { TargetSet } from './target-set.js';

/** A home, with what decides which targets it probes. */
export interface ProbingHome {
  readonly ip: string;
  readonly domain: string;
}

/** Options of the prober. */
export interface ProberOptions {
  readonly targets: TargetSet;
  readonly clock: Clock;
  readonly readTable: () => RouteTable | undefined;
  /** Time between two probes of a target, in milliseconds. */
  readonly interval: number;
  readonly self: string;
  /** Returns the recent utilisation of this daemon, from 0 to 1. */
  readonly readUtilisation: () => number;
  readonly listHomes: () => readonly ProbingHome[];
  /** Returns the probes a second that the whole fleet may send to each target. */
  readonly readProbeLimit: () => number;
  /** Returns how many daemons are known, and how many of them poll this daemon or another home. */
  readonly countDaemons: () => { readonly members: number; readonly present: number };
}

/**
 * A daemon that is not a home probes the targets of a service only from this many calls a second
 * on; below that it relies on the homes' reports.
 */
const MIN_NON_HOME_CALL_RATE = 3;

/** Fraction of a call's time after which a report is refreshed. */
const REFRESH_WORK_FRACTION = 0.75;

/**
 * Fraction of a report's validity after which it is refreshed. At this age a quarter of the reports
 * no longer hold, and a call sent on such a report takes several times its work.
 */
const REFRESH_LIFE_FRACTION = 0.25;

/** Lower bound of the probe interval, whatever number of probes is agreed. */
const MIN_INTERVAL_MS = 40;

/**
 * Probes that a call justifies. Where a quarter of the targets is slow, three reports that are
 * fresh when a call arrives nearly always include one of a fast target, and a fast target takes
 * several calls. More probes would grow with the targets instead of the calls.
 */
const PROBES_PER_CALL = 3;

/** Each home sends at least this many probes a second for a service, even if it has few calls. */
const MIN_HOME_PROBES_PER_SECOND = 100;

/** Up to this utilisation a daemon sends all the probes that its calls justify. */
const FULL_PROBING_UTILISATION = 0.5;

/** Unused probes accumulate for at most this long. */
const MAX_SAVED_MS = 250;

/** How often a daemon without calls checks for new ones. */
const IDLE_INTERVAL_MS = 100;

/** How long targets are probed twice as often after a call has had to wait. */
const BOOST_TIME_MS = 1000;

/** How long a home continues probing after the last call. */
const IN_USE_MS = 2000;

/** A target that takes longer to answer a probe is unresponsive or cut off. */
const PROBE_TIMEOUT_MS = 400;

/** Batches that a round of probes is split into, so that probes don't come all at once. */
const BATCHES = 4;

/** Longest answer to a probe, which nobody reads. */
const MAX_PROBE_BODY_BYTES = 65_536;

const HEALTHY_STATUS = 200;

/** A home probes another home's target when that probe is overdue by this many intervals. */
const OVERDUE_INTERVALS = 3;

/**
 * A target that gets calls from here all the time is probed this often to find out whether it has
 * become cold, which its answers to calls don't state. The calls sent meanwhile have to fit into
 * what a cold target may get within one second.
 */
const COLD_CHECK_MS = 400;

/**
 * Shortest interval of probes to a target that advertises a rate, because it is short of capacity.
 */
const MIN_LIMITED_INTERVAL_MS = 1000;

/** From this many recent calls on, a target is probed to find out whether it has become cold. */
const COLD_CHECK_CALLS = 2;

/** How the targets of one service are probed in one round; times in milliseconds. */
interface ProbePlan {
  readonly homes: readonly ProbingHome[];
  readonly isHome: boolean;
  /** Shortest time between two probes of one target by this daemon. */
  readonly minInterval: number;
  readonly interval: number;
  /** A report younger than this is not refreshed. */
  readonly minReportAge: number;
  /** Probes a second that this daemon's calls of the service justify. */
  readonly probesPerSecond: number;
  /** Whether the service limits the rate of cold targets. */
  readonly checksColdStart: boolean;
}

/** One round of probing one service. */
interface ProbeRound {
  /** The path of its health check. */
  readonly path: string;
  readonly batch: number;
  readonly plan: ProbePlan;
}

/** Probes that may be sent now: a token bucket. */
interface ProbeBudget {
  probes: number;
  updatedAt: number;
}

/**
 * Chooses the home that probes a target: by rendezvous hashing among the homes in the target's
 * failure domain, or among all homes when none is there. It sends the other homes what it learns,
 * in a twentieth of the bytes of a probe.
 */
export function chooseProbingHome(
  target: Pick<GatewayTarget, 'hash' | 'record'>,
  homes: readonly ProbingHome[],
): string | undefined {
  const sameDomain = homes.filter(({ domain }) => domain === target.record.domain);
  let best: string | undefined;
  let bestRank = -1;
  for (const { ip } of sameDomain.length > 0 ? sameDomain : homes) {
    const rank = getPairHash(ip, String(target.hash));
    if (rank <= bestRank) continue;
    best = ip;
    bestRank = rank;
  }
  return best;
}

/** Probes the targets of the services that are in use in this daemon. */
export class Prober {
  readonly #probing = new Set<GatewayTarget>();

  readonly #budgets = new Map<TargetService, ProbeBudget>();

  /** Probes sent since the start. */
  sent = 0;

  constructor(private readonly options: ProberOptions) {}

  /** Probes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, interval, targets } = this.options;
    for (let round = 0; !signal.aborted; round += 1) {
      this.#probeBatch(round % BATCHES);
      const homes = this.options.listHomes();
      const inUse = targets.listServices().filter((service) => this.#isInUse(service, homes));
      const roundTime = Math.min(
        interval,
        ...inUse.map((service) => this.#computeWantedInterval(service)),
      );
      await clock.sleep(inUse.length === 0 ? IDLE_INTERVAL_MS : roundTime / BATCHES, signal);
    }
  }

  /**
   * Returns the wanted time between two probes of a target. A report should be younger than a call
   * takes, so short calls need frequent probes. When calls had to wait recently, finding a fast
   * target sooner saves slots; but when they wait for this daemon itself, doubling the probes would
   * take a tenth of its processor time, and each answer to a call brings a report anyway.
   */
  #computeWantedInterval(service: TargetService): number {
    const { interval } = this.options;
    const { life } = service.readSlowdownParameters();
    const wanted = Math.min(
      interval,
      service.readWork(interval) * REFRESH_WORK_FRACTION,
      life * REFRESH_LIFE_FRACTION,
    );
    return Math.max(MIN_INTERVAL_MS, this.#isBoosted(service) ? wanted / 2 : wanted);
  }

  #isBoosted(service: TargetService): boolean {
    if (this.options.readUtilisation() >= HIGH_UTILISATION) return false;
    return this.options.clock.now() - service.queue.lastWaitAt < BOOST_TIME_MS;
  }

  #probeBatch(batch: number): void {
    const { targets, readTable } = this.options;
    const table = readTable();
    if (table === undefined) return;
    const homes = this.options.listHomes();
    for (const service of targets.listServices()) {
      const { healthPath: path = '', coldRate = Infinity } = table.findService(service.name) ?? {};
      if (path === '' || !this.#isInUse(service, homes)) continue;
      const plan = { ...this.#planProbes(service, homes), checksColdStart: coldRate < Infinity };
      this.#probeService(service, { path, batch, plan });
    }
  }

  #probeService(service: TargetService, { path, batch, plan }: ProbeRound): void {
    const budget = this.#refillBudget(service, plan.probesPerSecond);
    let index = 0;
    for (const target of service.targets.values()) {
      if (budget.probes < 1) return;
      index += 1;
      if (index % BATCHES !== batch || !target.isUsable || this.#probing.has(target)) continue;
      if (!this.#isDue(target, plan)) continue;
      budget.probes -= 1;
      this.#probe(service, target, path).catch(() => undefined);
    }
  }

  #planProbes(
    service: TargetService,
    homes: readonly ProbingHome[],
  ): Omit<ProbePlan, 'checksColdStart'> {
    const { countDaemons, readProbeLimit } = this.options;
    const isHome = this.#isHome(homes);
    const minInterval = computeProbeInterval({
      limit: readProbeLimit(),
      ...countDaemons(),
      isHome,
    });
    const calls = service.callRate.read(this.options.clock.now());
    const wantedProbes = Math.max(isHome ? MIN_HOME_PROBES_PER_SECOND : 0, PROBES_PER_CALL * calls);
    const probesPerSecond = Math.max(1, wantedProbes * this.#computeProbingFraction());
    // At this interval the home's part of the targets needs no more probes than that.
    const affordableInterval =
      (service.targets.size / Math.max(1, homes.length) / probesPerSecond) * 1000;
    const wanted = this.#computeWantedInterval(service);
    const interval = Math.max(minInterval, affordableInterval, wanted);
    // Each target is considered once in the wanted interval, so it may be due half of that early.
    return {
      homes,
      isHome,
      minInterval,
      interval,
      minReportAge: interval - wanted / 2,
      probesPerSecond,
    };
  }

  /**
   * Returns the fraction of the wanted probes that the processor has time for: all of them up to a
   * utilisation of one half, and fewer above. Waiting for the processor costs calls more than
   * outdated reports do.
   */
  #computeProbingFraction(): number {
    return Math.min(1, (1 - this.options.readUtilisation()) / (1 - FULL_PROBING_UTILISATION));
  }

  /**
   * Returns the probes that may be sent now. To a daemon that has just started every target is due
   * at once: without this limit each of 312 daemons with three calls a second probed all of 503
   * targets over new connections.
   */
  #refillBudget(service: TargetService, probesPerSecond: number): ProbeBudget {
    const now = this.options.clock.now();
    const budget = this.#budgets.get(service) ?? { probes: 0, updatedAt: now - MAX_SAVED_MS };
    const earned = (probesPerSecond * (now - budget.updatedAt)) / 1000;
    const maxProbes = Math.max(1, (probesPerSecond * MAX_SAVED_MS) / 1000);
    budget.probes = Math.min(maxProbes, budget.probes + earned);
    budget.updatedAt = now;
    this.#budgets.set(service, budget);
    return budget;
  }

  #isHome(homes: readonly ProbingHome[]): boolean {
    return homes.some(({ ip }) => ip === this.options.self);
  }

  /**
   * Whether the targets of a service are probed from here. Callers go to homes, so at a home one
   * call means that more will come; elsewhere a few calls are no reason to probe.
   */
  #isInUse(service: TargetService, homes: readonly ProbingHome[]): boolean {
    const now = this.options.clock.now();
    if (this.#isHome(homes)) return now - service.lastCallAt < IN_USE_MS;
    return service.callRate.read(now) >= MIN_NON_HOME_CALL_RATE;
  }

  /**
   * Whether a target is due for a probe. Homes divide the targets among themselves, and each stands
   * in for another home's probe that is overdue. Other daemons get reports from the homes, and
   * probe only what their small part of the agreed number allows.
   */
  #isDue(target: GatewayTarget, plan: ProbePlan): boolean {
    const { homes, isHome, minInterval } = plan;
    const now = this.options.clock.now();
    const floor = target.advertisedRate.isLimited ? MIN_LIMITED_INTERVAL_MS : 0;
    const minReportAge = Math.max(floor, plan.minReportAge);
    const interval = Math.max(floor, plan.interval);
    // A target that does not answer is not due again sooner than the others.
    if (now - target.lastProbeAt < Math.max(minInterval, minReportAge)) return false;
    if (plan.checksColdStart && this.#mayBeCold(target)) return true;
    const age = now - target.load.slowdownAt;
    if (age < minReportAge) return false;
    const isOwn = isHome && chooseProbingHome(target, homes) === this.options.self;
    return isOwn || age >= interval * OVERDUE_INTERVALS;
  }

  #mayBeCold({ recentSends, warmUp }: GatewayTarget): boolean {
    const now = this.options.clock.now();
    return recentSends.count(now) >= COLD_CHECK_CALLS && now - warmUp.reportedAt >= COLD_CHECK_MS;
  }

  async #probe(service: TargetService, target: GatewayTarget, path: string): Promise<void> {
    const { clock } = this.options;
    const startedAt = clock.now();
    this.#probing.add(target);
    target.lastProbeAt = startedAt;
    try {
      const taken = await target.connections.take(Infinity);
      if (taken.kind === 'not-connected') {
        target.recordHealth(false);
        return;
      }
      if (!target.isUsable) {
        taken.connection.socket.emit('free');
        return;
      }
      this.sent += 1;
      const ownCalls = target.load.countArrived(startedAt);
      const answer = await this.#sendProbe(taken.connection, path);
      // A full target resets the connection of a probe as well.
      if (answer === undefined && target.full.isFull) return;
      target.recordHealth(answer?.statusCode === HEALTHY_STATUS);
      if (answer === undefined) return;
      const report = decodeSelfReport(answer.statusCode, answer.headers);
      target.receiveReport(report, { sentAt: startedAt, ownCalls, isSuccess: false });
      const { load } = report;
      if (load !== undefined && !target.isMisdirected) {
        service.slowdownModel.record(load.slowdown, clock.now());
      }
    } finally {
      this.#probing.delete(target);
    }
  }

  #sendProbe(
    { agent, socket, guard }: Pick<TargetConnection, 'agent' | 'socket' | 'guard'>,
    path: string,
  ): Promise<http.IncomingMessage | undefined> {
    return new Promise((resolve) => {
      const request = http.request({ agent, method: 'GET', path, headers: { host: 'health' } });
      const timer = scheduleLagTolerantTimeout(PROBE_TIMEOUT_MS, () => socket.destroy());
      const finish = (answer: http.IncomingMessage | undefined) => {
        timer.cancel();
        resolve(answer);
      };
      let hasResponse = false;
      guard?.watch(request, {
        maxBodyBytes: MAX_PROBE_BODY_BYTES,
        onExcess: () => finish(undefined),
      });
      request.on('error', () => finish(undefined));
      request.on('response', (response) => {
        hasResponse = true;
        response.resume();
        response.on('error', () => finish(undefined));
        response.on('end', () => finish(response));
        if (findResponseFault(response) === undefined) return;
        finish(undefined);
        socket.destroy();
      });
      request.on('close', () => {
        // When a target switches protocols, Node closes the connection without any other event.
        if (!hasResponse) finish(undefined);
      });
      request.end();
    });
  }
}
