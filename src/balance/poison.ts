/**
 * Which requests targets end under: a poison request (query of death) crashes whoever begins to run it.
 *
 * The pattern answered: one look-up that its caller, this daemon and the other daemons repeat, each time at a target
 * that ends some ten milliseconds later with all that it runs. A target that ends takes some innocent requests with
 * it for each guilty one, so a single end blames nobody: whoever lost a target may run again, apart from others that
 * did, and whoever is answered is innocent. A request under which a second target ends is held out.
 *
 * Only requests that lost a target are remembered. What daemons tell each other of one may come in any order and
 * more than once.
 */

/** A request and the targets that ended under it, wherever it is told of. */
export interface BlamedRequest {
  /** Stands for the request; begins with its head. */
  readonly request: string;
  /** Stand for the lives of targets that ended while they ran it; none when it was answered since. */
  readonly ended: readonly number[];
  /** Releases of those targets. */
  readonly releases: readonly string[];
}

/** What is known of one request here. */
export interface PoisonCase extends BlamedRequest {
  /** When the last of them ended, or when it was answered; in milliseconds on this daemon's clock. */
  readonly changedAt: number;
}

/** The end of a target as seen from a request that ran there. */
export interface TargetEnd {
  /** Stands for the life that ended. */
  readonly target: number;
  /** The release of the target; empty where it says none. */
  readonly release: string;
}

/** What may be done with a request. */
export type PoisonDecision =
  /** No target has ended under it. */
  | { readonly kind: 'clear' }
  /** It may run once at a time, at a target where no other suspect runs and of a release other than these. */
  | { readonly kind: 'suspect'; readonly avoidedReleases: readonly string[] }
  /** It is sent nowhere; `wait` is the time after which its caller may ask again. */
  | { readonly kind: 'held'; readonly wait: number };

/** What a verdict depends on besides the record. */
export interface PoisonContext {
  readonly now: number;
  /** Targets of the service. */
  readonly targets: number;
  /** Releases that targets of the service run. */
  readonly releases: ReadonlySet<string>;
  /** Whether it falls to this daemon to try requests that are held out. */
  readonly mayRunTrials: boolean;
}

/** Ends of targets after which a request is held out; one more while targets also end by themselves. */
const MIN_ENDS = 2;

/**
 * How long a request is held out after the last end, in milliseconds, before it is tried once more: the first time
 * for an innocent one that lost two targets by chance, some times as long as its caller would wait; the second for
 * targets that were mended without a new release. After that only a new release, or forgetting it, sets it free: each
 * trial of a guilty one costs a target and what else runs there.
 */
const HOLD_TIMES_MS = [15_000, 300_000];

/** A request is forgotten this long after it last lost a target: a day, in which releases are made. */
const CASE_LIFETIME_MS = 86_400_000;

/** That a request was answered is remembered for this long, for words of before that are still on their way. */
const CLEARED_LIFETIME_MS = 60_000;

/** Requests remembered: about a megabyte. Those that lost one target go first. */
const MAX_CASES = 4096;

/** Cases looked at, the oldest first, whether they are over, at each that comes; all of them take 40 us. */
const MAX_TRIMMED = 8;

/** Ends of targets count as chance for this long, in milliseconds: some calls' time. */
const CHANCE_WINDOW_MS = 10_000;

/** A caller whose copy of the same request is being run may return after this long. */
const COPY_WAIT_MS = 250;

/** The longest time after which a caller is told to come back: it may be one whose request is good again by then. */
const MAX_WAIT_MS = 60_000;

/** More releases or ended targets of one request say nothing more. */
const MAX_NAMED = 8;

/** Characters of a digest, 6 bits each. A request's name is that of its head and that of its body. */
export const HEAD_DIGEST_LENGTH = 16;

interface RecentEnd {
  readonly at: number;
  /** Whether a request that is held out, or about to be, explains it. */
  isExplained: boolean;
}

function mergeNamed<T>(known: readonly T[], added: readonly T[]): readonly T[] {
  return [...new Set([...known, ...added])].slice(-MAX_NAMED);
}

/** What a word of another daemon was worth: `outdated` says that the other does not know what is known here. */
export type ReceivedCase = 'news' | 'known' | 'outdated';

/** Whether a case still blames its request for anything. */
function isBlamed({ ended }: PoisonCase): boolean {
  return ended.length > 0;
}

/** Joins what two daemons know of a blamed request. */
function mergeCases(a: PoisonCase, b: PoisonCase): PoisonCase {
  return {
    request: a.request,
    ended: mergeNamed(a.ended, b.ended),
    releases: mergeNamed(a.releases, b.releases),
    changedAt: Math.max(a.changedAt, b.changedAt),
  };
}

/** The record of one daemon. */
export class PoisonRecord {
  readonly #cases = new Map<string, PoisonCase>();

  /** How many cases begin with each head, so that only requests with a known one are told apart by their bodies. */
  readonly #caseCountByHead = new Map<string, number>();

  /** Suspects that run from here. */
  readonly #running = new Set<string>();

  /** Targets that ended of late. */
  readonly #recentEnds = new Map<number, RecentEnd>();

  /** Whether nothing is known of any request, as on most days. */
  get isEmpty(): boolean {
    return this.#cases.size === 0;
  }

  /** Whether a request with this head may be known. */
  mayKnowHead(head: string): boolean {
    return this.#caseCountByHead.has(head);
  }

  /** Finds a request under which a target ended since it was last answered. */
  findBlamed(request: string): PoisonCase | undefined {
    const known = this.#cases.get(request);
    return known !== undefined && isBlamed(known) ? known : undefined;
  }

  /** Finds what is known of a request. */
  findCase(request: string): PoisonCase | undefined {
    return this.#cases.get(request);
  }

  /** Says what may be done with a request that is to be sent. */
  judge(request: string, context: PoisonContext): PoisonDecision {
    const known = this.#cases.get(request);
    if (known === undefined || !isBlamed(known)) return { kind: 'clear' };
    if (this.#running.has(request)) return { kind: 'held', wait: COPY_WAIT_MS };
    const { now, releases, mayRunTrials } = context;
    const extraEnds = known.ended.length - this.#computeMinEnds(context);
    if (extraEnds < 0) return { kind: 'suspect', avoidedReleases: [] };
    const hasNewRelease = [...releases].some((release) => !known.releases.includes(release));
    if (hasNewRelease && mayRunTrials) return { kind: 'suspect', avoidedReleases: known.releases };
    const left = known.changedAt + (HOLD_TIMES_MS[extraEnds] ?? Infinity) - now;
    if (left <= 0 && mayRunTrials) return { kind: 'suspect', avoidedReleases: [] };
    return { kind: 'held', wait: Math.min(MAX_WAIT_MS, Math.max(COPY_WAIT_MS, left)) };
  }

  /** Notes that a suspect is sent; copies of it wait meanwhile. */
  start(request: string): void {
    this.#running.add(request);
  }

  /** Notes that what was sent of a suspect has come to an end. */
  finish(request: string): void {
    this.#running.delete(request);
  }

  /** Notes that a target ended while it ran a request. Returns what is known of the request now. */
  recordTargetEnd(request: string, { target, release }: TargetEnd, at: number): PoisonCase {
    const observed = { request, ended: [target], releases: [release], changedAt: at };
    this.receive(observed, at);
    return this.#cases.get(request) ?? observed;
  }

  /** Notes that a target ran a request to its end. Returns the case if it was blamed before. */
  recordAnswer(request: string, now: number): PoisonCase | undefined {
    const known = this.#cases.get(request);
    if (known === undefined || !isBlamed(known)) return undefined;
    const cleared = { request, ended: [], releases: [], changedAt: now };
    this.#put(cleared);
    return cleared;
  }

  /** Takes what another daemon knows; what is older than its opposite here says nothing. */
  receive(received: PoisonCase, now: number): ReceivedCase {
    const known = this.#cases.get(received.request);
    if (!isBlamed(received)) {
      if (known === undefined || !isBlamed(known)) return 'known';
      if (received.changedAt <= known.changedAt) return 'known';
      this.#put(received);
      return 'news';
    }
    if (known !== undefined && !isBlamed(known)) {
      if (received.changedAt <= known.changedAt) return 'outdated';
      this.#putBlamed(received, now);
      return 'news';
    }
    const hasNewEnd = received.ended.some((target) => known?.ended.includes(target) !== true);
    if (!hasNewEnd) return 'known';
    this.#putBlamed(mergeCases(known ?? received, received), now);
    return 'news';
  }

  /** Lists the requests that are held out, those that lost a target last at the end. */
  listHeldOut(): readonly PoisonCase[] {
    return [...this.#cases.values()].filter(({ ended }) => ended.length >= MIN_ENDS);
  }

  /** Lists what changed after a moment. */
  listChangedSince(time: number): readonly PoisonCase[] {
    return [...this.#cases.values()].filter(({ changedAt }) => changedAt > time);
  }

  /**
   * How many ends it takes. Where targets end by themselves, requests lose two by chance: with e ends within ten
   * seconds at T targets, five requests at each and a quarter of a second at a target, that happens to e * e / 8T
   * of them. Where that may be one in ten seconds, three are asked for.
   */
  #computeMinEnds({ now, targets }: PoisonContext): number {
    let ends = 0;
    for (const [target, { at, isExplained }] of this.#recentEnds) {
      if (now - at > CHANCE_WINDOW_MS) this.#recentEnds.delete(target);
      else if (!isExplained) ends += 1;
    }
    return ends * ends > targets ? MIN_ENDS + 1 : MIN_ENDS;
  }

  #putBlamed(next: PoisonCase, now: number): void {
    this.#put(next);
    this.#recordEnds(next, now);
    this.#trim(now);
  }

  #recordEnds({ ended, changedAt }: PoisonCase, now: number): void {
    if (now - changedAt > CHANCE_WINDOW_MS) return;
    const isExplained = ended.length >= MIN_ENDS;
    for (const target of ended) {
      const known = this.#recentEnds.get(target);
      if (known === undefined) this.#recentEnds.set(target, { at: changedAt, isExplained });
      else if (isExplained) known.isExplained = true;
    }
  }

  /** Keeps cases in the order in which they last changed. */
  #put(next: PoisonCase): void {
    const { request } = next;
    if (!this.#cases.delete(request)) this.#updateHeadCount(request, 1);
    this.#cases.set(request, next);
  }

  #updateHeadCount(request: string, step: number): void {
    const head = request.slice(0, HEAD_DIGEST_LENGTH);
    const count = (this.#caseCountByHead.get(head) ?? 0) + step;
    if (count > 0) this.#caseCountByHead.set(head, count);
    else this.#caseCountByHead.delete(head);
  }

  #forget(request: string): void {
    if (this.#cases.delete(request)) this.#updateHeadCount(request, -1);
  }

  #trim(now: number): void {
    let checked = 0;
    for (const known of this.#cases.values()) {
      checked += 1;
      if (checked > MAX_TRIMMED) break;
      const lifetime = isBlamed(known) ? CASE_LIFETIME_MS : CLEARED_LIFETIME_MS;
      if (now - known.changedAt > lifetime) this.#forget(known.request);
    }
    if (this.#cases.size <= MAX_CASES) return;
    for (const { request, ended } of this.#cases.values()) {
      if (ended.length >= MIN_ENDS) continue;
      this.#forget(request);
      return;
    }
    const [oldest] = this.#cases.keys();
    this.#forget(oldest);
  }
}
