/**
 * Detects poison requests (queries of death): requests that crash the target that starts to run
 * them.
 *
 * Guards against one request that its caller, this daemon and the other daemons keep repeating,
 * each time at a target that ends some ten milliseconds later with everything that it runs. A
 * target that ends takes innocent requests with it, so a single end proves nothing: a request that
 * lost a target may run again, apart from other suspects, and a request that is answered is
 * cleared. A request that loses a second target is held out.
 *
 * Only requests that lost a target are remembered. Daemons exchange their cases, which may arrive
 * in any order and more than once.
 */

/** A request and the targets that ended while running it, as daemons exchange and store it. */
export interface BlamedRequest {
  /** Identifies the request; begins with the digest of its head. */
  readonly request: string;
  /**
   * Numbers of the target incarnations that ended while running it; empty if it was answered since.
   */
  readonly ended: readonly number[];
  /** Releases of those targets. */
  readonly releases: readonly string[];
}

/** What this daemon knows of one request. */
export interface PoisonCase extends BlamedRequest {
  /**
   * When the last target ended, or when the request was answered, in milliseconds on this daemon's
   * clock.
   */
  readonly changedAt: number;
}

/** The end of a target that was running a request. */
export interface TargetEnd {
  /** Number of the incarnation that ended. */
  readonly target: number;
  /** The release of the target; empty if it reports none. */
  readonly release: string;
}

/** What may be done with a request. */
export type PoisonDecision =
  /** No target has ended while running it since it was last answered. */
  | { readonly kind: 'clear' }
  /**
   * It may run one at a time, at a target that runs no other suspect and none of the avoided
   * releases.
   */
  | { readonly kind: 'suspect'; readonly avoidedReleases: readonly string[] }
  /**
   * It is not sent to any target; `wait` is the time in milliseconds after which its caller may
   * retry.
   */
  | { readonly kind: 'held'; readonly wait: number };

/** What a decision depends on besides the record. */
export interface PoisonContext {
  readonly now: number;
  /** Number of targets of the service. */
  readonly targets: number;
  /** Releases that the targets of the service run. */
  readonly releases: ReadonlySet<string>;
  /** Whether this daemon is the one that tries held-out requests again. */
  readonly mayRunTrials: boolean;
}

/**
 * Ends of targets after which a request is held out; one more while targets also end on their own.
 */
const MIN_ENDS = 2;

/**
 * How long a request is held out after the last end, in milliseconds, before it is tried once more.
 * The first time is for an innocent request that lost two targets by chance, and is several times
 * as long as its caller would wait. The second is for targets that were fixed without a new
 * release. After that, only a new release or forgetting the case sets the request free, because each
 * trial of a poison request costs a target and everything that it runs.
 */
const HOLD_TIMES_MS = [15_000, 300_000];

/**
 * Time after the last end at which a request is forgotten: a day, in which fixed releases are
 * deployed.
 */
const CASE_LIFETIME_MS = 86_400_000;

/**
 * How long an answered request is remembered, so that older messages that arrive late don't blame
 * it again.
 */
const CLEARED_LIFETIME_MS = 60_000;

/** About a megabyte. Requests that lost only one target are forgotten first. */
const MAX_CASES = 4096;

/** Cases checked for expiry per new case, the oldest first; checking all of them takes 40 us. */
const MAX_TRIMMED = 8;

/** How long an end counts towards the rate of ends by chance: the duration of several calls. */
const CHANCE_WINDOW_MS = 10_000;

/** Retry time for the caller of a request of which another copy is running. */
const COPY_WAIT_MS = 250;

/** Upper limit of a retry time: the request may be harmless again by then. */
const MAX_WAIT_MS = 60_000;

/** More releases or ended targets of one request add no information. */
const MAX_NAMED = 8;

/**
 * Characters of the digest of a request's head, 6 bits each. A request's fingerprint is the digest
 * of its head, followed by that of its body.
 */
export const HEAD_DIGEST_LENGTH = 16;

interface RecentEnd {
  readonly at: number;
  /** Whether a request that is held out, or about to be, explains the end. */
  isExplained: boolean;
}

function mergeNamed<T>(known: readonly T[], added: readonly T[]): readonly T[] {
  return [...new Set([...known, ...added])].slice(-MAX_NAMED);
}

/**
 * How a case received from another daemon compares with the own record; `outdated` means that the
 * sender lacks what is known here.
 */
export type ReceivedCase = 'news' | 'known' | 'outdated';

/** Whether a target ended while running the request since it was last answered. */
function isBlamed({ ended }: PoisonCase): boolean {
  return ended.length > 0;
}

/** Merges what two daemons know of a blamed request. */
function mergeCases(a: PoisonCase, b: PoisonCase): PoisonCase {
  return {
    request: a.request,
    ended: mergeNamed(a.ended, b.ended),
    releases: mergeNamed(a.releases, b.releases),
    changedAt: Math.max(a.changedAt, b.changedAt),
  };
}

/** The cases that one daemon knows. */
export class PoisonRecord {
  readonly #cases = new Map<string, PoisonCase>();

  /** Number of cases per head. Only requests with a known head need a digest of their body. */
  readonly #caseCountByHead = new Map<string, number>();

  /** Suspects that run from here. */
  readonly #running = new Set<string>();

  /** Recent ends of targets. */
  readonly #recentEnds = new Map<number, RecentEnd>();

  /** Whether no case is known, which is the usual state. */
  get isEmpty(): boolean {
    return this.#cases.size === 0;
  }

  /** Whether a case with this head is known. */
  mayKnowHead(head: string): boolean {
    return this.#caseCountByHead.has(head);
  }

  /** Finds the case of a request if a target ended while running it since it was last answered. */
  findBlamed(request: string): PoisonCase | undefined {
    const known = this.#cases.get(request);
    return known !== undefined && isBlamed(known) ? known : undefined;
  }

  /** Finds the case of a request, whether it blames or clears it. */
  findCase(request: string): PoisonCase | undefined {
    return this.#cases.get(request);
  }

  /** Decides what may be done with a request that is about to be sent. */
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

  /** Records that a suspect is sent; copies of it wait meanwhile. */
  start(request: string): void {
    this.#running.add(request);
  }

  /** Records that the attempts of a suspect have ended. */
  finish(request: string): void {
    this.#running.delete(request);
  }

  /** Records that a target ended while running a request; returns the case. */
  recordTargetEnd(request: string, { target, release }: TargetEnd, at: number): PoisonCase {
    const observed = { request, ended: [target], releases: [release], changedAt: at };
    this.receive(observed, at);
    return this.#cases.get(request) ?? observed;
  }

  /**
   * Records that a target ran a request to its end; returns the cleared case if it was blamed
   * before.
   */
  recordAnswer(request: string, now: number): PoisonCase | undefined {
    const known = this.#cases.get(request);
    if (known === undefined || !isBlamed(known)) return undefined;
    const cleared = { request, ended: [], releases: [], changedAt: now };
    this.#put(cleared);
    return cleared;
  }

  /**
   * Merges a case received from another daemon. A blaming case and a clearing one override each
   * other by age.
   */
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

  /** Lists the requests that are held out, in the order of their last end. */
  listHeldOut(): readonly PoisonCase[] {
    return [...this.#cases.values()].filter(({ ended }) => ended.length >= MIN_ENDS);
  }

  /** Lists the cases that changed after a time, in milliseconds on this daemon's clock. */
  listChangedSince(time: number): readonly PoisonCase[] {
    return [...this.#cases.values()].filter(({ changedAt }) => changedAt > time);
  }

  /**
   * Returns how many ends it takes to hold a request out. Where targets end on their own, requests
   * lose two of them by chance: with e ends within ten seconds at T targets, five requests at each
   * and a quarter of a second per request, e * e / 8T requests do. Where that may be one in ten
   * seconds, three ends are needed.
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

  /** Keeps cases ordered by their last change. */
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
