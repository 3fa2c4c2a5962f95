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
 * The same for a daemon that hears the homes and is not near them: these read, or try to, before everybody does. When
 * watches are cut or the store is away for a moment, each of hundreds of daemons read all targets anew for nothing.
 * Still within the seconds in which a leaving target must be known.
 */
const REMOTE_STALE_AFTER = 2200;

/** Pauses of a daemon that reads the store, and those of one whose homes try as well, in milliseconds at most. */
const LONGEST_PAUSE = 1000;
const LONGEST_REMOTE_PAUSE = 2500;

/**
 * A daemon that has just begun to serve knows of nobody else who does, and takes itself for a first home, until it
 * has asked some times, each time after 100 ms. Daemons that start together would all watch for nothing.
 */
const HEARING_TIME = 400;

/** Whose duty reading is. */
export interface ReaderPlace {
  /** Whether this daemon is one of the homes that read for all. */
  readonly isAppointed: () => boolean;
  /** Whether it is a home, or would be one soon. */
  readonly isNearHomes: () => boolean;
}

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

  #heardAt = -Infinity;

  /** @param patience how long a daemon that starts waits to be told, in milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly place: ReaderPlace,
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

  /** Notes that another daemon answered, whatever it knows. */
  noteHeard(): void {
    this.#heardAt = this.clock.now();
  }

  /** Notes that this daemon begins to serve. */
  noteServing(): void {
    this.#servesSince = this.clock.now();
  }

  /** Whether this daemon reads now. */
  isReader(): boolean {
    const now = this.clock.now();
    if (now - this.#toldAt >= (this.#isRemote() ? REMOTE_STALE_AFTER : STALE_AFTER)) return true;
    return now - this.#servesSince >= HEARING_TIME && this.place.isAppointed();
  }

  /** The longest pause after a call that the store did not answer, in milliseconds. */
  readLongestPause(): number {
    return this.#isRemote() ? LONGEST_REMOTE_PAUSE : LONGEST_PAUSE;
  }

  /** Whether others are there that read before this daemon has to. */
  #isRemote(): boolean {
    const now = this.clock.now();
    if (this.#servesSince === Infinity || now - this.#heardAt >= STALE_AFTER) return false;
    return !this.place.isNearHomes();
  }
}
