/**
 * Whether a daemon reads the store: the first homes do, and everybody to whom no news comes.
 *
 * Only what others read themselves ends the duty of one that stands in. Its own readings must not, nor
 * their echo from a daemon that heard of them: the watch of the targets would then end the watch of
 * the configuration, which nobody else keeps meanwhile.
 */
import type { Clock } from '../kernel/index.js';

/** When nobody who tells has read for this long, a daemon reads for itself. */
const STALE_AFTER = 1500;

/** The duty of one daemon. */
export class ReaderDuty {
  #toldAt: number;

  /** @param patience how long a daemon that starts waits to be told, in milliseconds */
  constructor(
    private readonly clock: Clock,
    /** Whether this daemon is one of the homes that read for all. */
    private readonly isAppointed: () => boolean,
    patience = 0,
  ) {
    this.#toldAt = clock.now() - STALE_AFTER + patience;
  }

  /** Notes that another daemon had read the store itself at a moment, and told what it knows. */
  noteTold(readAt: number): void {
    this.#toldAt = Math.max(this.#toldAt, readAt);
  }

  /** Whether this daemon reads now. */
  isReader(): boolean {
    return this.isAppointed() || this.clock.now() - this.#toldAt >= STALE_AFTER;
  }
}
