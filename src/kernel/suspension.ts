/**
 * The time for which this machine was suspended: the steady clock stands still meanwhile, and the world goes on.
 *
 * The pattern answered: a machine that is suspended for seconds holds a lease, a grant or a list that looks as fresh
 * as before. The time of day leaps against the steady clock then, and also when somebody sets it; the time since boot
 * leaps then only. Where both leapt by the same, that was a suspension.
 */

/** What is read of the machine. All values are in milliseconds. */
export interface TimeSources {
  /** Monotonic; stands still while the machine is suspended. */
  steady(): number;
  /** Time of day; counts a suspension, and may be set. */
  wall(): number;
  /** Time since boot; counts a suspension, and is never set. */
  sinceBoot(): number;
}

/** A leap by less is no suspension: it is below what any lease or age here is counted in. */
const LEAST_LEAP = 200;

/** The time of day is compared this often, in milliseconds. */
const LOOK_PACE = 5;

/** The time since boot is read this often, in milliseconds, to know whether it keeps step with the steady clock. */
const SAMPLE_PACE = 1000;

/**
 * The time since boot is believed once it kept step this often in a row. Where it is another machine's, as in some
 * containers, it does not, and a suspension stays unseen rather than a wrong one believed.
 */
const STEPS_TO_TRUST = 3;

/** Two clocks that were read one after the other on a busy machine differ by so much, in milliseconds. */
const MOST_DRIFT = 60;

/** Counts the time for which one machine was suspended. */
export class SuspensionMeter {
  #lookedAt: number;

  #offset: number;

  #sampledAt: number;

  #bootOffset: number;

  #steps = 0;

  #suspended = 0;

  constructor(private readonly sources: TimeSources) {
    const steady = sources.steady();
    this.#lookedAt = steady;
    this.#offset = sources.wall() - steady;
    this.#sampledAt = steady;
    this.#bootOffset = sources.sinceBoot() - steady;
  }

  /** Reads for how long the machine was suspended since the start. @param steady the steady clock's time now */
  read(steady: number): number {
    if (steady - this.#lookedAt < LOOK_PACE) return this.#suspended;
    this.#lookedAt = steady;
    const offset = this.sources.wall() - steady;
    const leap = offset - this.#offset;
    this.#offset = offset;
    const hasLeapt = Math.abs(leap) >= LEAST_LEAP;
    if (!hasLeapt && steady - this.#sampledAt < SAMPLE_PACE) return this.#suspended;
    const bootLeap = this.#sample(steady);
    const isTrusted = this.#steps >= STEPS_TO_TRUST;
    if (leap >= LEAST_LEAP && isTrusted && Math.abs(bootLeap - leap) <= 2 * MOST_DRIFT) {
      this.#suspended += bootLeap;
    } else this.#steps = Math.abs(bootLeap) <= MOST_DRIFT ? this.#steps + 1 : 0;
    return this.#suspended;
  }

  /** Reads by how much the time since boot has leapt against the steady clock since it was last read. */
  #sample(steady: number): number {
    this.#sampledAt = steady;
    const bootOffset = this.sources.sinceBoot() - steady;
    const leap = bootOffset - this.#bootOffset;
    this.#bootOffset = bootOffset;
    return leap;
  }
}
