/**
 * Demand of one organisation at one daemon: how many tokens to request of which other homes, when
 * to reject calls at once, and when rejected callers may return.
 */

/** What the daemon has of an organisation's quota, and for whom. */
export interface QuotaState {
  /** IP addresses of the other homes. */
  readonly homes: readonly string[];
  /** Tokens at this daemon, with those that were lent to it. */
  readonly tokens: number;
  /** The rate at which its own bucket fills, in tokens per second. */
  readonly rate: number;
  /** Calls that wait for a token. */
  readonly waiting: number;
}

/** How many tokens to request of another home, in whole hundredths. */
export interface QuotaRequest {
  readonly peer: string;
  readonly wanted: number;
}

interface Peer {
  /** What it had left to lend when it last replied; undefined when that is unknown. */
  readonly left: number | undefined;
  /** When it last replied, or last failed to. */
  readonly at: number;
  /** When its last reply is too old to tell what it has left. */
  readonly staleAt: number;
  /** Requests in a row without a reply. */
  readonly misses: number;
}

interface PeerLists {
  readonly known: readonly { readonly peer: string; readonly left: number }[];
  readonly unknown: readonly { readonly peer: string }[];
}

const SECOND_MS = 1000;

/** Short, so that a reserve does not outlive the calls for which it is kept. */
const FAST_RATE_MS = 250;

/**
 * After this many mean gaps without a call the rate is lower. All calls may have moved to another
 * daemon, which needs the tokens that are reserved here.
 */
const MAX_GAPS = 2;

/** Long, so that a few calls at once are not taken for a lasting demand. */
const SLOW_RATE_MS = 1000;

/** Own calls get the tokens of this time before any are lent. */
const RESERVE_MS = 150;

/** Tokens are requested in advance for this time, once there are fewer than for half of it. */
const AHEAD_MS = 50;

/**
 * Below this demand (per second) nothing is requested in advance: tokens would expire unused, and
 * one call in a hundred is the most that may be lost.
 */
const MIN_AHEAD_RATE = 20;

/** A reply takes a few milliseconds; calls wait 60 ms, which leaves time for two more requests. */
const REPLY_TIMEOUT_MS = 20;

/** While the limit is reached, homes are asked again after this time. */
const EXHAUSTED_MS = 100;

/** A home that lent all that it had is asked again after this time. */
const EMPTIED_MS = 25;

/** What a home had left is taken as known for this time. */
const LEFT_VALID_MS = 1000;

/** A home that did not reply to this many requests in a row is left out for a second. */
const MAX_MISSES = 3;
const SILENT_MS = 1000;

/** The most homes that are asked at the same time. */
const MAX_REQUESTS = 32;

/** Requests are not smaller than this, so that many homes are not asked for next to nothing. */
const MIN_WANTED = 0.05;

/** Below this rate (per second) a Retry-After is computed with this one. */
const MIN_RETRY_RATE = 0.2;

/**
 * The longest Retry-After. Callers that do not return would otherwise put it off without end; the
 * times begin anew after it, so that they stay spread.
 */
const MAX_RETRY_MS = 30_000;

/** Amounts are sent in hundredths of a token. */
const STEPS = 100;

const ROUNDING_ERROR = 1e-9;

/** A rate of events that forgets exponentially. */
class DecayingRate {
  #sum = 0;

  #at = 0;

  constructor(private readonly time: number) {}

  record(amount: number, now: number): void {
    this.#sum = this.#decay(now) + amount;
    this.#at = now;
  }

  /** Returns the rate per second. */
  read(now: number): number {
    return (this.#decay(now) / this.time) * SECOND_MS;
  }

  #decay(now: number): number {
    return this.#sum * Math.exp(-Math.max(0, now - this.#at) / this.time);
  }
}

/** The demand of one organisation at one daemon. Times are in milliseconds. */
export class QuotaDemand {
  readonly #fast = new DecayingRate(FAST_RATE_MS);

  readonly #slow = new DecayingRate(SLOW_RATE_MS);

  readonly #lent = new DecayingRate(SLOW_RATE_MS);

  readonly #peers = new Map<string, Peer>();

  /** When each request without a reply was sent. */
  readonly #open = new Map<string, number>();

  #arrivedAt = -Infinity;

  #exhaustedUntil = -Infinity;

  #retryAt = -Infinity;

  /** Records a call of the organisation. */
  recordArrival(now: number): void {
    this.#arrivedAt = now;
    this.#fast.record(1, now);
    this.#slow.record(1, now);
  }

  /** Returns the recent calls per second. */
  readRate(now: number): number {
    const gap = Math.max(1, now - this.#arrivedAt);
    return Math.min(this.#fast.read(now), (MAX_GAPS * SECOND_MS) / gap);
  }

  /** Returns the tokens per second that others have lent recently. */
  readLentRate(now: number): number {
    return this.#lent.read(now);
  }

  /** Returns the tokens that the daemon's own calls need in the next 150 ms. */
  readReserve(now: number): number {
    return (this.readRate(now) * RESERVE_MS) / SECOND_MS;
  }

  /**
   * Whether the limit is known to be reached, so that calls without a token are rejected at once.
   */
  isExhausted(now: number): boolean {
    return now < this.#exhaustedUntil;
  }

  /**
   * Decides which homes to request tokens of; none while requests are open. Called at each call
   * that finds no token, at each reply and at least every 20 ms while calls wait. The requests
   * count as sent.
   */
  planRequests(now: number, state: QuotaState): readonly QuotaRequest[] {
    this.#expireOpen(now);
    if (this.#open.size > 0 || this.isExhausted(now)) return [];
    const needed = this.#computeNeed(now, state);
    if (needed <= 0) return [];
    const requests = this.#isSparse(now, state.rate)
      ? this.#planWhole(now, state)
      : this.#divide(now, needed, state.homes);
    if (requests.length === 0 && state.waiting > state.tokens)
      this.#exhaustedUntil = now + EXHAUSTED_MS;
    for (const { peer } of requests) this.#open.set(peer, now);
    return requests;
  }

  /** Records a home's reply: what it lent and what it has left to lend. */
  recordReply(peer: string, amount: number, left: number, now: number): void {
    this.#open.delete(peer);
    this.#lent.record(amount, now);
    const emptyTime = amount > 0 ? EMPTIED_MS : EXHAUSTED_MS;
    const staleAt = now + (left > 0 ? LEFT_VALID_MS : emptyTime);
    this.#peers.set(peer, { left, at: now, staleAt, misses: 0 });
  }

  /**
   * Returns the time until a caller rejected now may return, in milliseconds; each rejection moves
   * the next one's time on by one call. @param rate the calls per second that the daemon can admit
   */
  planRetry(now: number, rate: number): number {
    const step = SECOND_MS / Math.max(MIN_RETRY_RATE, rate);
    const next = Math.max(now, this.#retryAt) + step;
    this.#retryAt = next - now > MAX_RETRY_MS ? now + step : next;
    return this.#retryAt - now;
  }

  #expireOpen(now: number): void {
    for (const [peer, sentAt] of this.#open) {
      if (now - sentAt >= REPLY_TIMEOUT_MS) {
        this.#open.delete(peer);
        const misses = (this.#peers.get(peer)?.misses ?? 0) + 1;
        this.#peers.set(peer, { left: undefined, at: now, staleAt: now, misses });
      }
    }
  }

  /** Tokens needed in addition to those at this daemon. */
  #computeNeed(now: number, { tokens, rate, waiting }: QuotaState): number {
    const steady = this.#readSteadyRate(now);
    const isAhead = steady > rate && steady >= MIN_AHEAD_RATE;
    const ahead = isAhead ? (steady * AHEAD_MS) / SECOND_MS : 0;
    const isEnough = tokens >= waiting + ahead / 2 - ROUNDING_ERROR;
    return isEnough ? 0 : waiting + ahead - tokens;
  }

  /**
   * Whether calls are so rare, or the limit so low, that a borrowed fraction of a token would expire
   * before the remainder is found.
   */
  #isSparse(now: number, ownRate: number): boolean {
    const isLimited = now - this.#exhaustedUntil < LEFT_VALID_MS;
    const isLow = ownRate + this.readLentRate(now) < MIN_AHEAD_RATE;
    return this.#fast.read(now) < MIN_AHEAD_RATE || (isLimited && isLow);
  }

  #readSteadyRate(now: number): number {
    return Math.min(this.#fast.read(now), this.#slow.read(now));
  }

  /**
   * Requests tokens for whole calls only, as fractions would expire unused: first asks homes what
   * they have left, with requests of 0, then requests what makes up whole tokens.
   */
  #planWhole(now: number, { homes, tokens, waiting }: QuotaState): readonly QuotaRequest[] {
    const { known, unknown } = this.#listPeers(now, homes, EXHAUSTED_MS);
    const available = known.reduce((sum, { left }) => sum + left, tokens);
    const whole = Math.min(waiting, Math.floor(available + ROUNDING_ERROR));
    if (whole < waiting && unknown.length > 0)
      return unknown.slice(0, MAX_REQUESTS).map(({ peer }) => ({ peer, wanted: 0 }));
    return takeFromKnown(known, whole - tokens).requests;
  }

  /** Divides a need: first by what homes are known to have left, then evenly among the others. */
  #divide(now: number, needed: number, homes: readonly string[]): readonly QuotaRequest[] {
    const { known, unknown } = this.#listPeers(now, homes, LEFT_VALID_MS);
    const { requests, missing } = takeFromKnown(known, needed);
    if (missing <= ROUNDING_ERROR) return requests;
    const asked = unknown.slice(0, MAX_REQUESTS - requests.length);
    const each = Math.max(MIN_WANTED, missing / asked.length);
    return [...requests, ...asked.map(({ peer }) => ({ peer, wanted: computeHundredths(each) }))];
  }

  /**
   * Lists the homes of which it is known that they have tokens, those with most first, and those to
   * ask again, those that replied last at the end.
   */
  #listPeers(now: number, homes: readonly string[], maxAge: number): PeerLists {
    const unknown: { readonly peer: string; readonly at: number; readonly misses: number }[] = [];
    const known: { readonly peer: string; readonly left: number }[] = [];
    for (const peer of homes) {
      const { left, at, staleAt, misses } = this.#peers.get(peer) ?? UNKNOWN_PEER;
      if (left === undefined || now >= Math.min(staleAt, at + maxAge)) {
        if (misses < MAX_MISSES || now - at >= SILENT_MS) unknown.push({ peer, at, misses });
      } else if (left > 0) known.push({ peer, left });
    }
    known.sort((a, b) => b.left - a.left);
    unknown.sort((a, b) => a.misses - b.misses || a.at - b.at);
    return { known, unknown };
  }
}

/** Rounds an amount up to whole hundredths, in which it is sent. */
function computeHundredths(amount: number): number {
  return Math.ceil(amount * STEPS - ROUNDING_ERROR) / STEPS;
}

/** Requests `needed` tokens of the homes that have most, and returns how many are missing. */
function takeFromKnown(known: PeerLists['known'], needed: number) {
  const requests: QuotaRequest[] = [];
  let missing = needed;
  for (const { peer, left } of known) {
    if (missing <= ROUNDING_ERROR || requests.length >= MAX_REQUESTS) break;
    const wanted = Math.min(left, missing);
    requests.push({ peer, wanted: computeHundredths(wanted) });
    missing -= wanted;
  }
  return { requests, missing };
}

const UNKNOWN_PEER: Peer = { left: undefined, at: -Infinity, staleAt: -Infinity, misses: 0 };
