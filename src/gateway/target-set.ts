/** The targets in use, by service, kept in step with the view. */
import type { Clock, Random } from '../kernel/index.js';
import {
  type Advice,
  type ColdTerms,
  type DrawPool,
  type FleetShare,
  MOST_LOOKED_AT,
  DecayingMean,
  KneeEstimate,
  RateMeter,
  SlowdownMemory,
  type SlowdownPattern,
  WindowBudget,
  choosePlace,
  computeColdRate,
  computeOwnRate,
  drawCandidates,
} from '../balance/index.js';
import type { FleetView } from '../view/index.js';
import type { Lessons, ServiceLesson } from './lessons.js';
import { type PlaceWish, SlotQueue } from './slot-queue.js';
import { GatewayTarget, type RateNews, readRelease } from './target.js';

/** What is known of the cold targets of a service. */
export interface Coldness extends ColdTerms {
  /** For how long a target is cold, in milliseconds. */
  readonly time: number;
}

/** What this daemon stands for in the fleet, and so what targets get from it, is worked out this often, in milliseconds. */
const SHARE_PACE = 100;

const SECOND = 1000;

/** What the set is made from. */
export interface TargetSetOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly domain: string;
  /** Finds the region of a failure domain; undefined for one that nobody placed. */
  readonly findRegion: (domain: string) => string | undefined;
  /** Daemons that share the targets. */
  readonly countHomes: () => number;
  /** Those of the others that have told of their calls of late. */
  readonly countTellers: () => number;
  /** What cold targets of a service bear, and for how long one is cold. */
  readonly readColdness: (service: string) => Coldness;
  /** What this daemon stands for in the fleet, where all keep to a rate together. */
  readonly readShare: () => FleetShare;
  /** Called when a target names another rate than before, or none any more, with what it may get from here now. */
  readonly onRate: (news: RateNews, own: number) => void;
  readonly onUnreadableRate: (target: GatewayTarget, text: string) => void;
  /** Makes the budget for repeats of one service. */
  readonly createBudget: () => WindowBudget;
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

/** A daemon to which no call has come for this long serves none. */
const SERVING_TIME = 1000;

/** One service as this daemon uses it. */
export class TargetService {
  readonly targets = new Map<string, GatewayTarget>();

  readonly rate: RateMeter;

  lastCallAt = -Infinity;

  readonly budget: WindowBudget;

  /** Calls that wait for a target. */
  readonly queue: SlotQueue;

  readonly knee = new KneeEstimate();

  /** What the targets' reports have taught of how slow they are. */
  readonly memory = new SlowdownMemory();

  readonly #time = new DecayingMean(TIME_HALF_LIFE);

  readonly #sharers = new DecayingMean(SHARERS_HALF_LIFE);

  #sharersAt = -Infinity;

  #pool: DrawPool<GatewayTarget> | undefined;

  #share: FleetShare = { part: 0, homes: [], self: '' };

  #shareAt = -Infinity;

  /** What targets may get from here, as worked out since. */
  readonly #rates = new Map<GatewayTarget, number>();

  /** Calls that went elsewhere because a target had had what it takes. */
  limitedAway = 0;

  constructor(
    readonly name: string,
    private readonly options: TargetSetOptions,
  ) {
    this.rate = new RateMeter(options.clock.now());
    this.budget = options.createBudget();
    this.queue = new SlotQueue(options.clock, options.random, (call, ahead) =>
      this.choosePlace(call, ahead),
    );
  }

  /** Counts a call that arrives. */
  noteCall(): void {
    this.lastCallAt = this.options.clock.now();
    this.rate.add(this.lastCallAt);
    this.budget.noteRequest();
  }

  /** How slow the service's targets are, and for how long one stays so. */
  readPattern(): SlowdownPattern {
    return this.memory.read(this.options.clock.now());
  }

  /** How long calls take at a usual, idle target, in milliseconds; `fallback` before the first one. */
  readTime(fallback: number): number {
    return this.#time.read(fallback);
  }

  /** What others may start from; undefined before enough was seen here. */
  readLesson(): ServiceLesson | undefined {
    if (!this.memory.isTaught) return undefined;
    return { ...this.readPattern(), knee: this.knee.readFactor() };
  }

  /** Takes what others have learnt, until enough was seen here. */
  absorb(lesson: ServiceLesson): void {
    this.memory.absorb(lesson);
    this.knee.absorb(lesson.knee);
  }

  /** Counts the targets that take no more than a rate that they name. */
  countLimited(): number {
    let count = 0;
    for (const { named } of this.targets.values()) if (named.isLimited) count += 1;
    return count;
  }

  /** Works out anew what a target may get from here, in calls a second; Infinity where nothing limits it. */
  refreshRate(target: GatewayTarget): number {
    this.#rates.delete(target);
    return this.#readRate(target, this.options.clock.now());
  }

  /** Learns from one call how long calls take at a usual target. */
  noteTime(time: number): void {
    this.#time.add(time, this.options.clock.now());
  }

  /** Takes it that targets came, went or changed. */
  noteChange(): void {
    this.#pool = undefined;
  }

  #readPool(): DrawPool<GatewayTarget> {
    if (this.#pool !== undefined) return this.#pool;
    const near: GatewayTarget[] = [];
    const far: GatewayTarget[] = [];
    for (const target of this.targets.values()) {
      (target.record.domain === this.options.domain ? near : far).push(target);
    }
    this.#pool = { near, far };
    return this.#pool;
  }

  /**
   * Advises a call that has tried some targets already. One under which a target has ended goes where no other such
   * call runs, to a target that has run for long where there is one.
   *
   * @param ahead calls that go first
   */
  choosePlace(wish: PlaceWish, ahead: number): Advice<GatewayTarget> {
    const { care } = wish;
    let isLimited = false;
    const mayTake = (target: GatewayTarget) => {
      if (!this.#isOpenTo(target, wish)) return false;
      const isSpent = this.#isSpent(target);
      isLimited ||= isSpent;
      return !isSpent;
    };
    if (care === undefined) {
      const advice = this.#chooseAmong(mayTake, wish, ahead);
      if (isLimited && advice.kind === 'now') this.limitedAway += 1;
      return advice.kind === 'none' ? this.#adviseLimited(wish) : advice;
    }
    const now = this.options.clock.wall();
    const isAllowed = (target: GatewayTarget) =>
      mayTake(target) && !care.avoided.includes(readRelease(target.record));
    const isApart = (target: GatewayTarget) => isAllowed(target) && target.suspects === 0;
    const isSteady = (target: GatewayTarget) =>
      isApart(target) && now - target.record.born > STEADY_AGE;
    for (const isFit of [isSteady, isApart]) {
      const advice = this.#chooseAmong(isFit, wish, ahead);
      // A suspect that waited for one of few targets would hold up who waits behind it.
      if (advice.kind === 'now') return advice;
    }
    return this.#chooseAmong(isAllowed, wish, ahead);
  }

  /** Whether a call may go to a target that has room. */
  #isOpenTo(target: GatewayTarget, { tried, regions }: PlaceWish): boolean {
    if (!target.isUsable || tried.has(target)) return false;
    return regions === undefined || this.#isWithin(target, regions);
  }

  #isWithin({ record }: GatewayTarget, regions: readonly string[]): boolean {
    const region = this.options.findRegion(record.domain);
    return region !== undefined && regions.includes(region);
  }

  /** Whether a target has had what it takes from here, because it is cold or has named a rate. */
  #isSpent(target: GatewayTarget): boolean {
    const now = this.options.clock.now();
    const rate = this.#readRate(target, now);
    return rate < Infinity && !target.bucket.has(now, rate);
  }

  /** Calls a second that a target may get from here: the strictest of what holds; Infinity where nothing does. */
  #readRate(target: GatewayTarget, now: number): number {
    const named = target.named.read(now);
    const isCold = target.warmth.isCold(now);
    if (named === undefined && !isCold) return Infinity;
    const share = this.#readShare(now);
    const known = this.#rates.get(target);
    if (known !== undefined) return known;
    const cold = isCold ? computeColdRate(this.options.readColdness(this.name)) : undefined;
    let least = Infinity;
    for (const shared of [named, cold]) {
      if (shared === undefined) continue;
      least = Math.min(least, computeOwnRate(shared, share, target.hash));
    }
    this.#rates.set(target, least);
    return least;
  }

  #readShare(now: number): FleetShare {
    if (now - this.#shareAt < SHARE_PACE) return this.#share;
    this.#shareAt = now;
    this.#rates.clear();
    this.#share = this.options.readShare();
    return this.#share;
  }

  /** Advises a call where all that is left has had what it takes: to wait for more of that, if some falls to us. */
  #adviseLimited(wish: PlaceWish): Advice<GatewayTarget> {
    const now = this.options.clock.now();
    let rate = 0;
    for (const target of this.targets.values()) {
      if (this.#isOpenTo(target, wish)) rate += this.#readRate(target, now);
    }
    if (rate === 0) return { kind: 'none' };
    return { kind: 'wait', pace: SECOND / rate / wish.work, slowdown: 1, isLimited: true };
  }

  #chooseAmong(
    isUsable: (target: GatewayTarget) => boolean,
    { bodyBytes }: PlaceWish,
    ahead: number,
  ): Advice<GatewayTarget> {
    const { random, domain } = this.options;
    const drawn = drawCandidates(this.#readPool(), { random, isUsable });
    const homes = this.options.countHomes();
    const tellers = this.options.countTellers();
    const terms = { pattern: this.readPattern(), domain, homes, tellers, knee: this.knee };
    return choosePlace(drawn, (target) => target.view(terms), {
      ...{ ahead, sharers: this.#measureSharers(homes, tellers), random, bodyBytes },
      standsFor: Math.max(1, this.targets.size / MOST_LOOKED_AT),
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
    for (const { belief, isUsable } of this.targets.values()) {
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

/** All targets of a daemon. */
export class TargetSet {
  readonly #services = new Map<string, TargetService>();

  readonly #byHash = new Map<number, GatewayTarget>();

  #lessons: Lessons['services'] = {};

  /** Connections opened to targets since the start. */
  opened = 0;

  constructor(private readonly options: TargetSetOptions) {}

  /** Finds a service, known or not: targets may appear before or after the configuration. */
  find(name: string): TargetService {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const service = new TargetService(name, this.options);
    const lesson = this.#lessons[name];
    if (lesson !== undefined) service.absorb(lesson);
    this.#services.set(name, service);
    return service;
  }

  /** Takes what others have learnt of services. */
  absorb(lessons: Lessons['services']): void {
    this.#lessons = lessons;
    for (const [name, service] of this.#services) {
      const lesson = lessons[name];
      if (lesson !== undefined) service.absorb(lesson);
    }
  }

  /** What has been learnt here of services. */
  listLessons(): Lessons['services'] {
    const lessons: Record<string, ServiceLesson> = {};
    for (const [name, service] of this.#services) {
      const lesson = service.readLesson();
      if (lesson !== undefined) lessons[name] = lesson;
    }
    return lessons;
  }

  /** The services in use. */
  list(): readonly TargetService[] {
    return [...this.#services.values()];
  }

  /** Takes the targets of the view. */
  update(view: FleetView): void {
    const listed = new Map(
      view.listTargets().map((target) => [target.record.incarnation, target] as const),
    );
    for (const service of this.#services.values()) {
      for (const [incarnation, target] of service.targets) {
        const record = listed.get(incarnation)?.record;
        // A later start under the same name knows nothing of this one: it is another target.
        if (record?.service === service.name && record.born === target.record.born) continue;
        service.targets.delete(incarnation);
        service.noteChange();
        this.#byHash.delete(target.hash);
        target.leave(record !== undefined && record.born > target.record.born);
      }
    }
    const evacuated = new Set(view.evacuations.domains);
    for (const [incarnation, entry] of listed) {
      const isEvacuated = evacuated.has(entry.record.domain);
      const service = this.find(entry.record.service);
      const { targets, memory } = service;
      const known = targets.get(incarnation);
      if (known !== undefined) {
        if (known.record.domain !== entry.record.domain) service.noteChange();
        // Nobody asked it meanwhile, and it may have turned cold.
        if (known.isEvacuated && !isEvacuated) {
          known.warmth.suspect(this.options.clock.now() + this.#readColdTime(service));
        }
        known.update(entry, isEvacuated);
        continue;
      }
      const onOpened = () => {
        this.opened += 1;
      };
      const { clock, onUnreadableRate } = this.options;
      const onRate = (news: RateNews) =>
        this.options.onRate(news, service.refreshRate(news.target));
      const target = new GatewayTarget(entry, clock, {
        ...{ memory, onOpened, onRate, onUnreadableRate },
      });
      target.update(entry, isEvacuated);
      targets.set(incarnation, target);
      service.noteChange();
      this.#byHash.set(target.hash, target);
    }
  }

  /** Where nothing limits what cold targets get, none is taken for cold on suspicion. */
  #readColdTime({ name }: TargetService): number {
    const { rate, time } = this.options.readColdness(name);
    return rate === Infinity ? 0 : time;
  }

  /** Whether calls come to this daemon, be it a few a second. */
  isServing(now: number): boolean {
    return this.list().some((service) => now - service.lastCallAt < SERVING_TIME);
  }

  /** Finds a target by the number that stands for it between daemons. */
  findByHash(hash: number): GatewayTarget | undefined {
    return this.#byHash.get(hash);
  }

  /** Closes connections that have rested too long. */
  trim(): void {
    for (const { targets } of this.#services.values()) {
      for (const target of targets.values()) target.connections.trim();
    }
  }
}
