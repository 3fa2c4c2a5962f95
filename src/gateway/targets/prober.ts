/** Asks targets how loaded they are, while calls for them come to this daemon. */
import http from 'node:http';
import { getPairHash } from '../../balance/home.js';
import { computeProbeInterval } from '../../balance/index.js';
import { type Clock, scheduleLagTolerantTimeout } from '../../kernel/index.js';
import { decodeSelfReport } from '../../platform/index.js';
import { HIGH_UTILISATION } from '../../peering/index.js';
import type { RouteTable } from '../../routing/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetService } from './target-service.js';
import type { TargetSet } from './target-set.js';

/** A home, as far as it matters for who probes what. */
export interface ProbingHome {
  readonly ip: string;
  readonly domain: string;
}

/** What the prober is made from. */
export interface ProberOptions {
  readonly targets: TargetSet;
  readonly clock: Clock;
  readonly readTable: () => RouteTable | undefined;
  /** Time between two probes of a target, in milliseconds. */
  readonly interval: number;
  readonly self: string;
  /** The part of its time in which this daemon was at work of late, from 0 to 1. */
  readonly readUtilisation: () => number;
  readonly listHomes: () => readonly ProbingHome[];
  /** Probes that the whole fleet may send to each target a second. */
  readonly readProbeLimit: () => number;
  /** How many daemons are known, and how many of them look to this one. */
  readonly countDaemons: () => { readonly members: number; readonly present: number };
}

/** A service with fewer calls a second here is not worth measuring from here, but by the homes. */
const MIN_NON_HOME_CALL_RATE = 3;

/** A report is asked for again after this part of a call's time. */
const REFRESH_WORK_FRACTION = 0.75;

/**
 * A report is asked for again after this part of the time for which it says something. One that is this
 * old has been overtaken in a quarter of the cases, and a call pays for that with several times its work.
 */
const REFRESH_LIFE_FRACTION = 0.25;

/** No target is probed more often than this, whatever is agreed, in milliseconds. */
const MIN_INTERVAL_MS = 40;

/**
 * Probes that one call is worth. Where a quarter of the targets is slow, three reports that are fresh when it
 * comes nearly always hold one of a quick target, and a quick one takes several calls. More would grow with the
 * targets and not with the calls.
 */
const PROBES_PER_CALL = 3;

/** A service with few calls is measured this many times a second by each home all the same. */
const MIN_HOME_PROBES_PER_SECOND = 100;

/** Up to this part of its time at work a daemon sends all the probes that its calls are worth. */
const FULL_PROBING_UTILISATION = 0.5;

/** Probes that were not needed may be sent later, as many as fit into this time, in milliseconds. */
const MAX_SAVED_MS = 250;

/** How often a daemon without calls looks whether some have come. */
const IDLE_INTERVAL_MS = 100;

/** Targets are probed twice as often for this long after a call has had to wait. */
const BOOST_TIME_MS = 1000;

/** A home goes on probing this long after the last call, in milliseconds. */
const IN_USE_MS = 2000;

/** A probe that takes longer tells that the target is mute or cut off. */
const PROBE_TIMEOUT_MS = 400;

/** Targets are probed in this many batches, so that probes do not come all at once. */
const BATCHES = 4;

const HEALTHY_STATUS = 200;

/** Another home's probe is this many intervals late before this one stands in. */
const OVERDUE_INTERVALS = 3;

/**
 * A target that gets calls from here all the time is asked this often, in milliseconds, whether it has turned cold:
 * its answers to calls don't tell. What it gets meanwhile has to fit what it may get within one second.
 */
const COLD_CHECK_MS = 400;

/** A target in need, which names the rate that it takes, is asked no more often than this, in milliseconds. */
const MIN_LIMITED_INTERVAL_MS = 1000;

/** From this many calls of late on that is worth a probe. */
const COLD_CHECK_CALLS = 2;

/** How the targets of one service are probed in one turn; times in milliseconds. */
interface ProbePlan {
  readonly homes: readonly ProbingHome[];
  readonly isHome: boolean;
  /** Least time between two probes of one target from here. */
  readonly minInterval: number;
  readonly interval: number;
  /** A report younger than this is not asked for again. */
  readonly minReportAge: number;
  /** Probes a second that the service's calls are worth here. */
  readonly probesPerSecond: number;
  /** Whether its targets may turn cold, and bear little then. */
  readonly checksColdStart: boolean;
}

/** One turn of probing one service. */
interface ProbeRound {
  /** The path of its health check. */
  readonly path: string;
  readonly batch: number;
  readonly plan: ProbePlan;
}

/** Probes that may be sent now. */
interface ProbeBudget {
  probes: number;
  updatedAt: number;
}

/**
 * Returns the home that probes a target: of those in its failure domain, or of all where none is, the one
 * of the highest hash. What it hears it tells the others, in a twentieth of the bytes of a probe.
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

/** Probes the targets of the services that are in use here. */
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
   * Where calls are short a report is soon of no use: it should be younger than a call takes. Where
   * calls have had to wait of late, knowing sooner which target is quick saves slots; where they wait for
   * this daemon itself, twice the probes take a tenth of what it has, and each answer brings a report.
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
    // At this interval a home's part of the targets takes no more probes than that.
    const affordableInterval =
      (service.targets.size / Math.max(1, homes.length) / probesPerSecond) * 1000;
    const wanted = this.#computeWantedInterval(service);
    const interval = Math.max(minInterval, affordableInterval, wanted);
    // Each target is looked at once in the wanted interval, so it may be due half of that early.
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
   * The part of the wanted probes for which the processor has time: all of them up to half of its time at work, and
   * fewer the less it leaves. Calls that wait for it lose more than a staler report costs them.
   */
  #computeProbingFraction(): number {
    return Math.min(1, (1 - this.options.readUtilisation()) / (1 - FULL_PROBING_UTILISATION));
  }

  /**
   * What may be sent now. A daemon that has heard nothing yet finds every target due at once: with three
   * calls in a second each of 312 daemons asked all of 503 targets over new connections.
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

  /** Calls meet at homes, so one call shows that more will come; elsewhere a few are no reason. */
  #isInUse(service: TargetService, homes: readonly ProbingHome[]): boolean {
    const now = this.options.clock.now();
    if (this.#isHome(homes)) return now - service.lastCallAt < IN_USE_MS;
    return service.callRate.read(now) >= MIN_NON_HOME_CALL_RATE;
  }

  /**
   * Homes divide the targets among themselves; what a home has not heard of in time it asks itself.
   * Others hear from the homes, and ask only what their small part of the agreed number allows.
   */
  #isDue(target: GatewayTarget, plan: ProbePlan): boolean {
    const { homes, isHome, minInterval } = plan;
    const now = this.options.clock.now();
    const floor = target.advertisedRate.isLimited ? MIN_LIMITED_INTERVAL_MS : 0;
    const minReportAge = Math.max(floor, plan.minReportAge);
    const interval = Math.max(floor, plan.interval);
    // A target that does not answer is due again no sooner than the others.
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
    { agent, socket }: { readonly agent: http.Agent; readonly socket: { destroy(): void } },
    path: string,
  ): Promise<http.IncomingMessage | undefined> {
    return new Promise((resolve) => {
      const request = http.request({ agent, method: 'GET', path, headers: { host: 'health' } });
      const timer = scheduleLagTolerantTimeout(PROBE_TIMEOUT_MS, () => socket.destroy());
      const finish = (answer: http.IncomingMessage | undefined) => {
        timer.cancel();
        resolve(answer);
      };
      request.on('error', () => finish(undefined));
      request.on('response', (response) => {
        response.resume();
        response.on('error', () => finish(undefined));
        response.on('end', () => finish(response));
      });
      request.end();
    });
  }
}
