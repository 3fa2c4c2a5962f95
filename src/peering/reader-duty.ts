/**
 * Whether a daemon reads the store: the first homes do, and everybody to whom no news comes.
 *
 * Only what others read themselves ends the duty of one that stands in. Its own readings must not, nor
 * their echo from a daemon that heard of them: the watch of the targets would then end the watch of
 * the configuration, which nobody else keeps meanwhile.
 */
import type { Clock } from '../kernel/index.js';

/**
 * When no reading younger than this is known of, a daemon reads for itself. A reader's watch tells of its end
 * every 0.9 s; the word takes 0.1 s to the homes and 0.25 s from there at most.
 */
const STALE_AFTER = 1500;

/**
 * A daemon that has just begun to serve knows of nobody else who does, and takes itself for a first home, until it
 * has asked some times, each time after 100 ms. With twelve daemons that start together each one watched once or
 * twice for nothing.
 */
const HEARING_TIME = 400;

/** The last reading by another daemon. */
interface ToldReading {
  readonly reader: string;
  readonly at: number;
}

/** The duty of one daemon. */
export class ReaderDuty {
  #told: ToldReading | undefined;

  #toldAt: number;

  #servesSince = Infinity;

  /** @param patience how long a daemon that starts waits to be told, in milliseconds */
  constructor(
    private readonly clock: Clock,
    /** Whether this daemon is one of the homes that read for all. */
    private readonly isAppointed: () => boolean,
    patience = 0,
  ) {
    this.#toldAt = clock.now() - STALE_AFTER + patience;
  }

  /** The last reading by another daemon that is known of; it may be passed on. */
  get told(): ToldReading | undefined {
    return this.#told;
  }

  /** Notes that another daemon had read the store itself at a moment, as it said or somebody passed on. */
  noteTold(reader: string, at: number): void {
    if (at <= this.#toldAt) return;
    this.#toldAt = at;
    this.#told = { reader, at };
  }

  /** Notes that this daemon begins to serve. */
  noteServing(): void {
    this.#servesSince = this.clock.now();
  }

  /** Whether this daemon reads now. */
  isReader(): boolean {
    const now = this.clock.now();
    if (now - this.#toldAt >= STALE_AFTER) return true;
    return now - this.#servesSince >= HEARING_TIME && this.isAppointed();
  }
}
