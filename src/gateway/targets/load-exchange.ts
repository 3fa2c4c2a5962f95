/**
 * Exchange of load reports between daemons. Each home sends the other homes what only it knows
 * about the targets: its calls there, and the slowdown that they reported to it. So counts of calls
 * are nearly exact at every home, and one home's probe serves all.
 *
 * Calls also reach daemons that are not homes, from callers with an outdated list of homes or after
 * many daemons have restarted. Such a daemon reports its calls to the homes, and receives their
 * load reports for as long as it does.
 */
import type { Clock } from '../../kernel/index.js';
import type { DrainingReport, FullReport, TargetLoadReport } from '../../peering/index.js';
import { DrainingReporter } from './draining-reporter.js';
import type { GatewayTarget } from './target.js';
import type { TargetSet } from './target-set.js';

/** Options of the exchange. */
export interface LoadExchangeOptions {
  readonly clock: Clock;
  readonly targets: TargetSet;
  readonly self: string;
  /** The IP addresses of the homes, including this daemon's when it is one. */
  readonly listHomes: () => readonly string[];
  /** Whether this daemon receives calls. */
  readonly isServing: () => boolean;
  readonly send: (ip: string, reports: readonly TargetLoadReport[]) => void;
  readonly sendDraining: (ip: string, reports: readonly DrainingReport[]) => void;
  readonly sendFull?: (ip: string, reports: readonly FullReport[]) => void;
}

/**
 * Time between two datagrams to each of up to two other homes: short compared to a call, long
 * compared to the cost of a datagram.
 */
const INTERVAL_MS = 20;

/**
 * With more other homes than these the interval grows in proportion, so that datagrams don't use up
 * the processor time that more homes add.
 */
const FULL_RATE_HOMES = 2;

/**
 * Time between two datagrams to or from a daemon that is not a home. All daemons may be serving at
 * once. At 20 ms their reports used so much of a home's processor under overload that four times as
 * many calls were held to their deadline.
 */
const NON_HOME_INTERVAL_MS = 100;

/** How often a daemon without recipients checks whether that has changed. */
const IDLE_INTERVAL_MS = 250;

/**
 * A daemon that is not a home and sent no report for this long is taken to serve no calls any more.
 */
const NON_HOME_TIMEOUT_MS = 1200;

/** Unchanged load is sent again after this time, because datagrams get lost. */
const REPEAT_INTERVAL_MS = 500;

/** A home that sent a report within this time has no calls at targets that its reports left out. */
const HOME_TIMEOUT_MS = 1200;

/** Reports in one datagram: few enough that the network does not fragment it. */
const MAX_REPORTS = 100;

/** Smaller changes of a slowdown are not sent. */
const MIN_SLOWDOWN_CHANGE = 0.05;

interface SentReport {
  readonly inFlight: number;
  readonly slowdown: number;
  readonly rate: number | undefined;
  readonly at: number;
}

/** Sends and receives the load reports of one daemon. */
export class LoadExchange {
  readonly #lastSent = new Map<GatewayTarget, SentReport>();

  /** When a report of each daemon was last received. */
  readonly #receivedAt = new Map<string, number>();

  /** Reports pending for the daemons that are not homes, which get them less often, by target. */
  #pendingForNonHomes = new Map<number, TargetLoadReport>();

  #sentToNonHomesAt = -Infinity;

  /** When this daemon last sent a report to the other homes. */
  #sentToHomesAt = -Infinity;

  readonly #drainingReporter: DrainingReporter;

  constructor(private readonly options: LoadExchangeOptions) {
    this.#drainingReporter = new DrainingReporter(options.targets, options.clock);
  }

  /** Sends reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, listHomes } = this.options;
    while (!signal.aborted) {
      await clock.sleep(this.#chooseInterval(listHomes()), signal);
      this.#sendReports(listHomes());
    }
  }

  /** Applies the load reports of another daemon. */
  receive(from: string, reports: readonly TargetLoadReport[]): void {
    const { targets, clock } = this.options;
    this.#receivedAt.set(from, clock.now());
    // Waiting calls are reconsidered every few milliseconds anyway. Doing so on every report of
    // another daemon took more of a home's processor time than its calls did.
    for (const report of reports) targets.findByHash(report.target)?.receivePeerLoad(from, report);
  }

  /** Applies another daemon's reports of draining targets. */
  receiveDraining(from: string, reports: readonly DrainingReport[]): void {
    for (const { target, age } of reports) {
      this.options.targets.findByHash(target)?.receivePeerDraining(from, age);
    }
  }

  /** Applies another daemon's limits of full targets. */
  receiveFull(from: string, reports: readonly FullReport[]): void {
    for (const { target, limit, age } of reports) {
      this.options.targets.findByHash(target)?.full.receivePeerLimit(from, limit, age);
    }
  }

  /** Counts the other homes that sent reports recently. */
  countReportingHomes(): number {
    const { clock, listHomes } = this.options;
    const now = clock.now();
    return listHomes().filter(
      (ip) => now - (this.#receivedAt.get(ip) ?? -Infinity) < HOME_TIMEOUT_MS,
    ).length;
  }

  #chooseInterval(homes: readonly string[]): number {
    const { self, isServing } = this.options;
    if (!homes.includes(self)) return isServing() ? NON_HOME_INTERVAL_MS : IDLE_INTERVAL_MS;
    if (homes.length > 1) return INTERVAL_MS * Math.max(1, (homes.length - 1) / FULL_RATE_HOMES);
    return this.#listNonHomes(homes).length > 0 ? NON_HOME_INTERVAL_MS : IDLE_INTERVAL_MS;
  }

  /** Lists the daemons that are not homes and sent reports recently; forgets those that stopped. */
  #listNonHomes(homes: readonly string[]): readonly string[] {
    const now = this.options.clock.now();
    for (const [ip, at] of this.#receivedAt) {
      if (now - at >= NON_HOME_TIMEOUT_MS) this.#receivedAt.delete(ip);
    }
    return [...this.#receivedAt.keys()].filter((ip) => !homes.includes(ip));
  }

  #sendReports(homes: readonly string[]): void {
    const { self, isServing } = this.options;
    const isHome = homes.includes(self);
    if (!isHome && !isServing()) return;
    const otherHomes = homes.filter((ip) => ip !== self);
    const nonHomes = isHome ? this.#listNonHomes(homes) : [];
    if (otherHomes.length + nonHomes.length === 0) return;
    const drainingReports = this.#drainingReporter.takeDue();
    if (drainingReports.length > 0) {
      for (const ip of [...otherHomes, ...nonHomes]) this.options.sendDraining(ip, drainingReports);
    }
    this.#sendFullReports([...otherHomes, ...nonHomes]);
    const reports = this.#listDueReports();
    this.#sendToHomes(otherHomes, reports);
    if (nonHomes.length > 0) this.#sendToNonHomes(nonHomes, reports);
  }

  /**
   * Sends the limits of targets that reset a connection of this daemon since the last time. They
   * are not repeated: a daemon that misses one finds out by a reset of its own.
   */
  #sendFullReports(ips: readonly string[]): void {
    const reports: FullReport[] = [];
    for (const service of this.options.targets.listServices()) {
      for (const { hash, full } of service.targets.values()) {
        const report = reports.length < MAX_REPORTS ? full.takeReport() : undefined;
        if (report !== undefined) reports.push({ target: hash, ...report });
      }
    }
    if (reports.length > 0) for (const ip of ips) this.options.sendFull?.(ip, reports);
  }

  /**
   * Sends reports to the other homes. From time to time an empty report is sent as well, to show
   * that there are no calls here.
   */
  #sendToHomes(ips: readonly string[], reports: readonly TargetLoadReport[]): void {
    const now = this.options.clock.now();
    if (reports.length === 0 && now - this.#sentToHomesAt < REPEAT_INTERVAL_MS) return;
    this.#sentToHomesAt = now;
    if (reports.length > 0) this.#sendTo(ips, reports);
    else for (const ip of ips) this.options.send(ip, []);
  }

  /**
   * Sends reports to daemons that are not homes. Of several reports of a target only the latest is
   * sent.
   */
  #sendToNonHomes(nonHomes: readonly string[], reports: readonly TargetLoadReport[]): void {
    const now = this.options.clock.now();
    for (const report of reports) this.#pendingForNonHomes.set(report.target, report);
    if (now - this.#sentToNonHomesAt < NON_HOME_INTERVAL_MS) return;
    this.#sentToNonHomesAt = now;
    this.#sendTo(nonHomes, [...this.#pendingForNonHomes.values()]);
    this.#pendingForNonHomes.clear();
  }

  #sendTo(ips: readonly string[], reports: readonly TargetLoadReport[]): void {
    for (let at = 0; at < reports.length; at += MAX_REPORTS) {
      const part = reports.slice(at, at + MAX_REPORTS);
      for (const ip of ips) this.options.send(ip, part);
    }
  }

  /**
   * Lists reports of the targets whose load has changed since the last report, or was reported long
   * ago.
   */
  #listDueReports(): readonly TargetLoadReport[] {
    const now = this.options.clock.now();
    const reports: TargetLoadReport[] = [];
    for (const service of this.options.targets.listServices()) {
      const { isReached } = service;
      for (const target of service.targets.values()) {
        const inFlight = isReached ? target.load.inFlight : 0;
        const report = this.#createDueReport(target, inFlight, now);
        if (report !== undefined) reports.push(report);
      }
    }
    return reports;
  }

  /** @param inFlight calls that may be running there, none behind a partition */
  #createDueReport(
    target: GatewayTarget,
    inFlight: number,
    now: number,
  ): TargetLoadReport | undefined {
    const { load } = target;
    const lastSent = this.#lastSent.get(target);
    // Only slowdowns that the target itself reported here are passed on; each home passes on its
    // own.
    const isDirect = load.reportedAt === load.slowdownAt;
    // Sent repeatedly, because a daemon that has just become a home has to observe the rate as
    // well.
    const advertisedRate = target.advertisedRate.readAnnouncement(now);
    // Of hundreds of targets most have no calls from here and last reported to another home; those
    // are not repeated.
    const isWorthRepeating =
      inFlight > 0 ||
      advertisedRate !== undefined ||
      (isDirect && now - load.slowdownAt < REPEAT_INTERVAL_MS);
    const isRepeatDue =
      isWorthRepeating && (lastSent === undefined || now - lastSent.at >= REPEAT_INTERVAL_MS);
    const hasChanged =
      (lastSent?.inFlight ?? 0) !== inFlight ||
      (advertisedRate !== undefined && lastSent?.rate !== advertisedRate.rate) ||
      (isDirect && Math.abs((lastSent?.slowdown ?? 0) - load.lastSlowdown) > MIN_SLOWDOWN_CHANGE);
    if (!hasChanged && !isRepeatDue) return undefined;
    this.#lastSent.set(target, {
      ...{ inFlight, at: now },
      slowdown: isDirect ? load.lastSlowdown : (lastSent?.slowdown ?? 0),
      rate: advertisedRate?.rate,
    });
    return {
      ...{ target: target.hash, inFlight },
      slowdown: isDirect ? load.lastSlowdown : undefined,
      age: isDirect ? now - load.slowdownAt : 0,
      ...(advertisedRate && {
        advertisedRate: { rate: advertisedRate.rate, age: now - advertisedRate.at },
      }),
    };
  }
}
