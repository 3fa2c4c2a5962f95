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
  readonly send: (ip: string, shares: readonly TargetLoadReport[]) => void;
  readonly sendDraining: (ip: string, targets: readonly DrainingReport[]) => void;
}

/** Time between two datagrams to two others: short against a call, long against what a datagram costs. */
const PACE = 20;

/** With more others than these the pace is slower, so that datagrams don't take what more homes bring. */
const OTHERS_AT_PACE = 2;

/**
 * Time between two datagrams to or from a daemon that is no home. All of them may serve at once, and
 * at 20 ms their words took so much of a home's core under overload that four times as many calls were
 * held to their end.
 */
const NON_HOME_PACE = 100;

/** How often a daemon that has nobody to tell looks whether that has changed. */
const IDLE_PACE = 250;

/** A daemon that has told nothing for this long serves no calls any more. */
const NON_HOME_LIFE = 1200;

/** What has not changed is told again after this long, since datagrams get lost. */
const REPEAT = 500;

/** A home that has told anything within this time has no calls at the targets that it did not name. */
const TELLER_LIFE = 1200;

/** Shares in one datagram, so that it stays below what a network carries in one piece. */
const MOST_SHARES = 100;

/** A slowdown that differs by less is no news. */
const SLOWDOWN_CHANGED = 0.05;

interface ToldShare {
  readonly inFlight: number;
  readonly slowdown: number;
  readonly rate: number | undefined;
  readonly at: number;
}

/** Tells and hears the shares of one daemon. */
export class LoadExchange {
  readonly #told = new Map<GatewayTarget, ToldShare>();

  /** When each daemon last told something. */
  readonly #heardAt = new Map<string, number>();

  /** News for the daemons that are no homes, which hear less often. */
  #forNonHomes = new Map<number, TargetLoadReport>();

  #nonHomesToldAt = -Infinity;

  /** When this home last told the others anything. */
  #homesToldAt = -Infinity;

  readonly #draining: DrainingReporter;

  constructor(private readonly options: LoadExchangeOptions) {
    this.#draining = new DrainingReporter(options.targets, options.clock);
  }

  /** Tells until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, listHomes } = this.options;
    while (!signal.aborted) {
      await clock.sleep(this.#choosePace(listHomes()), signal);
      this.#tell(listHomes());
    }
  }

  /** Takes what another daemon told. */
  receive(from: string, shares: readonly TargetLoadReport[]): void {
    const { targets, clock } = this.options;
    this.#heardAt.set(from, clock.now());
    // Calls that wait are looked at every few milliseconds anyway; serving them at every word of another
    // daemon took more of a home's processor than its calls did.
    for (const share of shares) targets.findByHash(share.target)?.receivePeerLoad(from, share);
  }

  /** Takes it that targets drain, as they told another daemon. */
  receiveDraining(from: string, drained: readonly DrainingReport[]): void {
    for (const { target, age } of drained) {
      this.options.targets.findByHash(target)?.receivePeerDraining(from, age);
    }
  }

  /** How many of the other homes have told of their calls of late. */
  countReportingHomes(): number {
    const { clock, listHomes } = this.options;
    const now = clock.now();
    return listHomes().filter((ip) => now - (this.#heardAt.get(ip) ?? -Infinity) < TELLER_LIFE)
      .length;
  }

  #choosePace(homes: readonly string[]): number {
    const { self, isServing } = this.options;
    if (!homes.includes(self)) return isServing() ? NON_HOME_PACE : IDLE_PACE;
    if (homes.length > 1) return PACE * Math.max(1, (homes.length - 1) / OTHERS_AT_PACE);
    return this.#listNonHomes(homes).length > 0 ? NON_HOME_PACE : IDLE_PACE;
  }

  /** The daemons that are no homes and have told of calls of late. */
  #listNonHomes(homes: readonly string[]): readonly string[] {
    const now = this.options.clock.now();
    for (const [ip, at] of this.#heardAt) {
      if (now - at >= NON_HOME_LIFE) this.#heardAt.delete(ip);
    }
    return [...this.#heardAt.keys()].filter((ip) => !homes.includes(ip));
  }

  #tell(homes: readonly string[]): void {
    const { self, isServing } = this.options;
    const isHome = homes.includes(self);
    if (!isHome && !isServing()) return;
    const otherHomes = homes.filter((ip) => ip !== self);
    const nonHomes = isHome ? this.#listNonHomes(homes) : [];
    if (otherHomes.length + nonHomes.length === 0) return;
    const drained = this.#draining.take();
    if (drained.length > 0) {
      for (const ip of [...otherHomes, ...nonHomes]) this.options.sendDraining(ip, drained);
    }
    const news = this.#listNews();
    this.#tellHomes(otherHomes, news);
    if (nonHomes.length > 0) this.#tellNonHomes(nonHomes, news);
  }

  /** Tells the other homes; nothing to tell is told as well, as a sign that there are no calls here. */
  #tellHomes(ips: readonly string[], news: readonly TargetLoadReport[]): void {
    const now = this.options.clock.now();
    if (news.length === 0 && now - this.#homesToldAt < REPEAT) return;
    this.#homesToldAt = now;
    if (news.length > 0) this.#sendTo(ips, news);
    else for (const ip of ips) this.options.send(ip, []);
  }

  /** Of a target that changed more than once since the last time, only the last word is told. */
  #tellNonHomes(nonHomes: readonly string[], news: readonly TargetLoadReport[]): void {
    const now = this.options.clock.now();
    for (const share of news) this.#forNonHomes.set(share.target, share);
    if (now - this.#nonHomesToldAt < NON_HOME_PACE) return;
    this.#nonHomesToldAt = now;
    this.#sendTo(nonHomes, [...this.#forNonHomes.values()]);
    this.#forNonHomes.clear();
  }

  #sendTo(ips: readonly string[], shares: readonly TargetLoadReport[]): void {
    for (let at = 0; at < shares.length; at += MOST_SHARES) {
      const part = shares.slice(at, at + MOST_SHARES);
      for (const ip of ips) this.options.send(ip, part);
    }
  }

  /** Lists what changed since it was last told, or was told long ago. */
  #listNews(): readonly TargetLoadReport[] {
    const now = this.options.clock.now();
    const shares: TargetLoadReport[] = [];
    for (const service of this.options.targets.listServices()) {
      for (const target of service.targets.values()) {
        const share = this.#describeNews(target, now);
        if (share !== undefined) shares.push(share);
      }
    }
    return shares;
  }

  #describeNews(target: GatewayTarget, now: number): TargetLoadReport | undefined {
    const { load: belief } = target;
    const { inFlight } = belief;
    const told = this.#told.get(target);
    // Only what this home heard from the target itself; what another home told, that one tells.
    const isHeard = belief.reportedAt === belief.slowdownAt;
    // Told again and again, as whoever has just become a home has to keep to it as well.
    const named = target.advertisedRate.readAnnouncement(now);
    // Of hundreds of targets most have no calls from here and were last heard by another home.
    const hasWord =
      inFlight > 0 || named !== undefined || (isHeard && now - belief.slowdownAt < REPEAT);
    const isOld = hasWord && (told === undefined || now - told.at >= REPEAT);
    const isNews =
      (told?.inFlight ?? 0) !== inFlight ||
      (named !== undefined && told?.rate !== named.rate) ||
      (isHeard && Math.abs((told?.slowdown ?? 0) - belief.lastSlowdown) > SLOWDOWN_CHANGED);
    if (!isNews && !isOld) return undefined;
    this.#told.set(target, {
      ...{ inFlight, at: now },
      slowdown: isHeard ? belief.lastSlowdown : (told?.slowdown ?? 0),
      rate: named?.rate,
    });
    return {
      ...{ target: target.hash, inFlight },
      slowdown: isHeard ? belief.lastSlowdown : undefined,
      age: isHeard ? now - belief.slowdownAt : 0,
      ...(named && { advertisedRate: { rate: named.rate, age: now - named.at } }),
    };
  }
}
