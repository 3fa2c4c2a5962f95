/**
 * Whether a daemon reads the store: the first homes do, and everybody to whom no news comes.
 *
 * Only what others read themselves ends the duty of one that stands in. Its own readings must not, nor
 * their echo from a daemon that heard of them: the watch of the targets would then end the watch of
 * the configuration, which nobody else keeps meanwhile.
 */
import type { Clock } from '../kernel/index.js';
import type { PropagationTimes } from '../view/index.js';

/**
 * A daemon that has just begun to serve knows of nobody else who does, and takes itself for a first home, until it
 * has asked some times, each time after 100 ms. Daemons that start together would all watch for nothing.
 */
const DISCOVERY_TIME_MS = 400;

/** Whose duty reading is. */
export interface ReaderEligibility {
  /** Whether this daemon is one of the homes that read for all. */
  readonly isDesignated: () => boolean;
  /** Whether it is a home, or would be one soon. */
  readonly isNearHomes: () => boolean;
}

/** The last reading by another daemon. */
interface RemoteRead {
  readonly reader: string;
  readonly at: number;
}

/** The duty of one daemon. */
export class ReaderRole {
  #lastRemoteRead: RemoteRead | undefined;

  #remoteReadAt: number;

  #servingSince = Infinity;

  #lastAnswerAt = -Infinity;

  /** @param startDelay how long a daemon that starts waits to be told, in milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly eligibility: ReaderEligibility,
    private readonly readTimes: () => PropagationTimes,
    startDelay = 0,
  ) {
    this.#remoteReadAt = clock.now() - readTimes().nearMaxAge + startDelay;
  }

  /** The last reading by another daemon that is known of; it may be passed on. */
  get lastRemoteRead(): RemoteRead | undefined {
    return this.#lastRemoteRead;
  }

  /** Notes that another daemon had read the store itself at a moment, as it said or somebody passed on. */
  recordRemoteRead(reader: string, at: number): void {
    if (at <= this.#remoteReadAt) return;
    this.#remoteReadAt = at;
    this.#lastRemoteRead = { reader, at };
  }

  /** Notes that another daemon answered, whatever it knows. */
  recordAnswer(): void {
    this.#lastAnswerAt = this.clock.now();
  }

  /** Notes that this daemon begins to serve. */
  recordServing(): void {
    this.#servingSince = this.clock.now();
  }

  /** Whether this daemon reads now. */
  isReader(): boolean {
    const now = this.clock.now();
    if (this.getReadDelay() <= 0) return true;
    return now - this.#servingSince >= DISCOVERY_TIME_MS && this.eligibility.isDesignated();
  }

  /** Time until this daemon reads for itself unless it is told of a reading, in milliseconds. */
  getReadDelay(): number {
    const { nearMaxAge, remoteMaxAge } = this.readTimes();
    return this.#remoteReadAt + (this.#isRemote() ? remoteMaxAge : nearMaxAge) - this.clock.now();
  }

  /** The longest pause after a call that the store did not answer, in milliseconds. */
  getMaxBackoff(): number {
    const { maxBackoff, maxRemoteBackoff } = this.readTimes();
    return this.#isRemote() ? maxRemoteBackoff : maxBackoff;
  }

  /** Whether others are there that read before this daemon has to. */
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
