/**
 * How many calls a cold target gets from one daemon, so that all daemons together keep to what it bears.
 *
 * The pattern answered: targets that come back after a failure, or with their failure domain, are slow for some
 * seconds and fall over when they get more than a few requests a second. Daemons do not agree on who sends there:
 * homes change, are cut off from each other, or start all at once. So each daemon has the part of the calls that
 * stands for the part of the fleet that looks to it. Everybody looks to few daemons, as one in all, so the parts sum
 * up to one however the fleet is split; for a moment after a change one may be counted where it was and where it is.
 * A daemon whose part is less than one call sends none.
 */

/** What a cold target bears and how much of it falls to one daemon. */
export interface ColdTerms {
  /** Requests a second that one bears, of all daemons together; Infinity where its service does not say. */
  readonly rate: number;
  /** Most requests in any second, as a multiple of the rate. */
  readonly overshoot: number;
  /** Requests in a second besides. */
  readonly slack: number;
  /** The part of the fleet that looks to this daemon, from 0 to 1. */
  readonly part: number;
}

/** Times that somebody who has just turned to another daemon is counted. */
const COUNTED_TWICE = 2;

/**
 * Calls count for this long, in milliseconds: those sent within it may arrive within one second, as opening a
 * connection takes up to a quarter of one.
 */
export const COLD_WINDOW = 1250;

/** Calls remembered; more than any cold target is to get in a window. */
const MOST_REMEMBERED = 64;

/** Computes how many calls this daemon may send to a cold target in a window. */
export function computeColdShare({ rate, overshoot, slack, part }: ColdTerms): number {
  if (rate === Infinity) return Infinity;
  const most = rate * overshoot + slack;
  return Math.floor(part * Math.min(rate * overshoot, most / COUNTED_TWICE));
}

/** Counts the calls sent to one target of late. */
export class SendMeter {
  #sentAt: readonly number[] = [];

  /** Counts a call that is sent. */
  note(now: number): void {
    const recent = this.#sentAt.filter((at) => now - at < COLD_WINDOW);
    this.#sentAt = [...recent, now].slice(-MOST_REMEMBERED);
  }

  /** Calls sent within a window. */
  count(now: number): number {
    let count = 0;
    for (const at of this.#sentAt) if (now - at < COLD_WINDOW) count += 1;
    return count;
  }
}

/** How long what is known of a target's warmth holds, in milliseconds on this daemon's clock. */
export class Warmth {
  #coldUntil = -Infinity;

  #heardAt = -Infinity;

  /** When the target itself last said how warm it is. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Whether it is to be taken for cold. */
  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  /** Takes it that the target may be cold until then: from an entry that may be older than its own word. */
  suspect(until: number): void {
    this.#coldUntil = Math.max(this.#coldUntil, until);
  }

  /** Takes the target's own word of a moment; a later one replaces it. @param left for how long it is still cold */
  hear(left: number, at: number): boolean {
    if (at <= this.#heardAt) return false;
    this.#heardAt = at;
    this.#coldUntil = left > 0 ? at + left : -Infinity;
    return true;
  }
}
