/**
 * Decides whether a daemon reads the store: the first homes do, and so does every daemon that
 * learns of no recent read.
 *
 * Only reads by other daemons end the role of a daemon that stands in for the readers. Its own
 * reads must not, nor reports of them that come back from others: it would stop although nobody
 * else reads the store.
 */
import type { Clock } from '../kernel/index.js';
import type { PropagationTimes } from '../view/index.js';

/**
 * A daemon that has just begun to serve knows of no other that serves and considers itself a first
 * home, until it has polled some times at intervals of 100 ms. Without this wait, all daemons that
 * start together would start needless watches.
 */
const DISCOVERY_TIME_MS = 400;

/** What decides whether this daemon is to read: its place among the homes. */
export interface ReaderEligibility {
  /** Whether this daemon is one of the homes that read for all daemons. */
  readonly isDesignated: () => boolean;
  /** Whether it is a home or among the next to become one. */
  readonly isNearHomes: () => boolean;
}

/** A read of the store by another daemon. */
interface RemoteRead {
  readonly reader: string;
  readonly at: number;
}

/** Tracks whether one daemon has to read the store. */
export class ReaderRole {
  #lastRemoteRead: RemoteRead | undefined;

  #remoteReadAt: number;

  #servingSince = Infinity;

  #lastAnswerAt = -Infinity;

  /**
   * @param startDelay how long a starting daemon waits to learn of a read by another, in
   * milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly eligibility: ReaderEligibility,
    private readonly readTimes: () => PropagationTimes,
    startDelay = 0,
  ) {
    this.#remoteReadAt = clock.now() - readTimes().nearMaxAge + startDelay;
  }

  /** The last known read by another daemon, to be passed on; undefined when none is known. */
  get lastRemoteRead(): RemoteRead | undefined {
    return this.#lastRemoteRead;
  }

  /**
   * Records that another daemon read the store at time `at`, as it reported itself or a third one
   * passed on.
   */
  recordRemoteRead(reader: string, at: number): void {
    if (at <= this.#remoteReadAt) return;
    this.#remoteReadAt = at;
    this.#lastRemoteRead = { reader, at };
  }

  /** Records that another daemon answered a poll, whatever it knows. */
  recordAnswer(): void {
    this.#lastAnswerAt = this.clock.now();
  }

  /** Records that this daemon begins to serve. */
  recordServing(): void {
    this.#servingSince = this.clock.now();
  }

  /** Whether this daemon has to read the store now. */
  isReader(): boolean {
    const now = this.clock.now();
    if (this.getReadDelay() <= 0) return true;
    return now - this.#servingSince >= DISCOVERY_TIME_MS && this.eligibility.isDesignated();
  }

  /**
   * Time until this daemon has to read unless it learns of a read by another, in milliseconds; 0 or
   * less when due.
   */
  getReadDelay(): number {
    const { nearMaxAge, remoteMaxAge } = this.readTimes();
    return this.#remoteReadAt + (this.#isRemote() ? remoteMaxAge : nearMaxAge) - this.clock.now();
  }

  /** The longest back-off after a call that the store did not answer, in milliseconds. */
  getMaxBackoff(): number {
    const { maxBackoff, maxRemoteBackoff } = this.readTimes();
    return this.#isRemote() ? maxRemoteBackoff : maxBackoff;
  }

  /**
   * Whether this daemon is not near the homes and others answer, so that those read before it has
   * to.
   */
  #isRemote(): boolean {
    const now = this.clock.now();
    if (
      this.#servingSince === Infinity ||
      now - this.#lastAnswerAt >= this.readTimes().nearMaxAge
    ) {
      return false;
    }
    return !this.eligibility.isNearHomes();
  }
}
