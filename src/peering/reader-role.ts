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
const HEARING_TIME = 400;

/** Whose duty reading is. */
export interface ReaderEligibility {
  /** Whether this daemon is one of the homes that read for all. */
  readonly isDesignated: () => boolean;
  /** Whether it is a home, or would be one soon. */
  readonly isNearHomes: () => boolean;
}

/** The last reading by another daemon. */
interface ToldReading {
  readonly reader: string;
  readonly at: number;
}

/** The duty of one daemon. */
export class ReaderRole {
  #told: ToldReading | undefined;

  #toldAt: number;

  #servesSince = Infinity;

  #heardAt = -Infinity;

  /** @param patience how long a daemon that starts waits to be told, in milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly place: ReaderEligibility,
    private readonly readTimes: () => PropagationTimes,
    patience = 0,
  ) {
    this.#toldAt = clock.now() - readTimes().nearMaxStaleness + patience;
  }

  /** The last reading by another daemon that is known of; it may be passed on. */
  get lastRemoteRead(): ToldReading | undefined {
    return this.#told;
  }

  /** Notes that another daemon had read the store itself at a moment, as it said or somebody passed on. */
  recordRemoteRead(reader: string, at: number): void {
    if (at <= this.#toldAt) return;
    this.#toldAt = at;
    this.#told = { reader, at };
  }

  /** Notes that another daemon answered, whatever it knows. */
  recordAnswer(): void {
    this.#heardAt = this.clock.now();
  }

  /** Notes that this daemon begins to serve. */
  recordServing(): void {
    this.#servesSince = this.clock.now();
  }

  /** Whether this daemon reads now. */
  isReader(): boolean {
    const now = this.clock.now();
    if (this.getReadDelay() <= 0) return true;
    return now - this.#servesSince >= HEARING_TIME && this.place.isDesignated();
  }

  /** Time until this daemon reads for itself unless it is told of a reading, in milliseconds. */
  getReadDelay(): number {
    const { nearMaxStaleness: nearStale, remoteMaxStaleness: remoteStale } = this.readTimes();
    return this.#toldAt + (this.#isRemote() ? remoteStale : nearStale) - this.clock.now();
  }

  /** The longest pause after a call that the store did not answer, in milliseconds. */
  getMaxBackoff(): number {
    const { maxBackoff: longestPause, maxRemoteBackoff: longestRemotePause } = this.readTimes();
    return this.#isRemote() ? longestRemotePause : longestPause;
  }

  /** Whether others are there that read before this daemon has to. */
  #isRemote(): boolean {
    const now = this.clock.now();
    if (
      this.#servesSince === Infinity ||
      now - this.#heardAt >= this.readTimes().nearMaxStaleness
    ) {
      return false;
    }
    return !this.place.isNearHomes();
  }
}
