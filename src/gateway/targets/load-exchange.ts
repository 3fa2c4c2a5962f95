/**
 * The homes tell each other what each alone knows of the targets: its calls there, and how slow it
 * heard them to be. So counts are nearly exact at every home, and one home's probe serves all.
 *
 * Calls come to other daemons as well, from callers that hold an old answer or after many daemons have
 * started anew. Such a daemon tells the homes of its calls, and hears from them for as long as it does.
 */
import type { Clock } from '../../kernel/index.js';
import type { DrainingReport, TargetLoadReport } from '../../peering/index.js';
import { DrainingReporter } from './draining-reporter.js';
import type { GatewayTarget } from './target.js';
import type { TargetSet } from './target-set.js';

/** What the sharing is made from. */
export interface LoadExchangeOptions {
  readonly clock: Clock;
  readonly targets: TargetSet;
  readonly self: string;
  /** The IP numbers of the homes, this daemon's included when it is one. */
  readonly listHomes: () => readonly string[];
  /** Whether calls come to this daemon. */
  readonly isServing: () => boolean;
  readonly send: (ip: string, reports: readonly TargetLoadReport[]) => void;
  readonly sendDraining: (ip: string, reports: readonly DrainingReport[]) => void;
}

/** Time between two datagrams to two others: short against a call, long against what a datagram costs. */
const INTERVAL_MS = 20;

/** With more others than these the pace is slower, so that datagrams don't take what more homes bring. */
const FULL_RATE_HOMES = 2;

/**
 * Time between two datagrams to or from a daemon that is no home. All of them may serve at once, and
 * at 20 ms their words took so much of a home's core under overload that four times as many calls were
 * held to their end.
 */
const NON_HOME_INTERVAL_MS = 100;

/** How often a daemon that has nobody to tell looks whether that has changed. */
const IDLE_INTERVAL_MS = 250;

/** A daemon that has told nothing for this long serves no calls any more. */
const NON_HOME_TIMEOUT_MS = 1200;

/** What has not changed is told again after this long, since datagrams get lost. */
const REPEAT_INTERVAL_MS = 500;

/** A home that has told anything within this time has no calls at the targets that it did not name. */
const HOME_TIMEOUT_MS = 1200;

/** Shares in one datagram, so that it stays below what a network carries in one piece. */
const MAX_REPORTS = 100;

/** A slowdown that differs by less is no news. */
const MIN_SLOWDOWN_CHANGE = 0.05;

interface SentReport {
  readonly inFlight: number;
  readonly slowdown: number;
  readonly rate: number | undefined;
  readonly at: number;
}

/** Tells and hears the shares of one daemon. */
export class LoadExchange {
  readonly #lastSent = new Map<GatewayTarget, SentReport>();

  /** When each daemon last told something. */
  readonly #receivedAt = new Map<string, number>();

  /** News for the daemons that are no homes, which hear less often. */
  #pendingForNonHomes = new Map<number, TargetLoadReport>();

  #sentToNonHomesAt = -Infinity;

  /** When this home last told the others anything. */
  #sentToHomesAt = -Infinity;

  readonly #drainingReporter: DrainingReporter;

  constructor(private readonly options: LoadExchangeOptions) {
    this.#drainingReporter = new DrainingReporter(options.targets, options.clock);
  }

  /** Tells until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, listHomes } = this.options;
    while (!signal.aborted) {
      await clock.sleep(this.#chooseInterval(listHomes()), signal);
      this.#sendReports(listHomes());
    }
  }

  /** Takes what another daemon told. */
  receive(from: string, reports: readonly TargetLoadReport[]): void {
    const { targets, clock } = this.options;
    this.#receivedAt.set(from, clock.now());
    // Calls that wait are looked at every few milliseconds anyway; serving them at every word of another
    // daemon took more of a home's processor than its calls did.
    for (const report of reports) targets.findByHash(report.target)?.receivePeerLoad(from, report);
  }

  /** Takes it that targets drain, as they told another daemon. */
  receiveDraining(from: string, reports: readonly DrainingReport[]): void {
    for (const { target, age } of reports) {
      this.options.targets.findByHash(target)?.receivePeerDraining(from, age);
    }
  }

  /** How many of the other homes have told of their calls of late. */
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

  /** The daemons that are no homes and have told of calls of late. */
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
    const reports = this.#listDueReports();
    this.#sendToHomes(otherHomes, reports);
    if (nonHomes.length > 0) this.#sendToNonHomes(nonHomes, reports);
  }

  /** Tells the other homes; nothing to tell is told as well, as a sign that there are no calls here. */
  #sendToHomes(ips: readonly string[], reports: readonly TargetLoadReport[]): void {
    const now = this.options.clock.now();
    if (reports.length === 0 && now - this.#sentToHomesAt < REPEAT_INTERVAL_MS) return;
    this.#sentToHomesAt = now;
    if (reports.length > 0) this.#sendTo(ips, reports);
    else for (const ip of ips) this.options.send(ip, []);
  }

  /** Of a target that changed more than once since the last time, only the last word is told. */
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

  /** Lists what changed since it was last told, or was told long ago. */
  #listDueReports(): readonly TargetLoadReport[] {
    const now = this.options.clock.now();
    const reports: TargetLoadReport[] = [];
    for (const service of this.options.targets.listServices()) {
      for (const target of service.targets.values()) {
        const report = this.#createDueReport(target, now);
        if (report !== undefined) reports.push(report);
      }
    }
    return reports;
  }

  #createDueReport(target: GatewayTarget, now: number): TargetLoadReport | undefined {
    const { load } = target;
    const { inFlight } = load;
    const lastSent = this.#lastSent.get(target);
    // Only what this home heard from the target itself; what another home told, that one tells.
    const isDirect = load.reportedAt === load.slowdownAt;
    // Told again and again, as whoever has just become a home has to keep to it as well.
    const advertisedRate = target.advertisedRate.readAnnouncement(now);
    // Of hundreds of targets most have no calls from here and were last heard by another home.
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
