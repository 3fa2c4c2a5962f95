/**
 * The time for which this machine was suspended: the steady clock stands still meanwhile, and the world goes on.
 *
 * The pattern answered: a machine that is suspended for seconds holds a lease, a grant or a list that looks as fresh
 * as before. The time of day leaps against the steady clock then, and also when somebody sets it; the time since boot
 * leaps then only. Where both leapt by the same, that was a suspension.
 */

/** What is read of the machine. All values are in milliseconds. */
export interface ClockSources {
  /** Monotonic; stands still while the machine is suspended. */
  monotonic(): number;
  /** Time of day; counts a suspension, and may be set. */
  wall(): number;
  /** Time since boot; counts a suspension, and is never set. */
  sinceBoot(): number;
}

/** A leap by less is no suspension: it is below what any lease or age here is counted in. */
const MIN_JUMP_MS = 200;

/** The time of day is compared this often, in milliseconds. */
const COMPARE_INTERVAL_MS = 5;

/** The time since boot is read this often, in milliseconds, to know whether it keeps step with the steady clock. */
const BOOT_READ_INTERVAL_MS = 1000;

/**
 * The time since boot is believed once it kept step this often in a row. Where it is another machine's, as in some
 * containers, it does not, and a suspension stays unseen rather than a wrong one believed.
 */
const MIN_STEADY_READS = 3;

/** Two clocks that were read one after the other on a busy machine differ by so much, in milliseconds. */
const MAX_DRIFT_MS = 60;

/** Counts the time for which one machine was suspended. */
export class SuspensionMeter {
  #comparedAt: number;

  #wallOffset: number;

  #bootReadAt: number;

  #bootOffset: number;

  #steadyReads = 0;

  #suspendedMs = 0;

  constructor(private readonly sources: ClockSources) {
    const now = sources.monotonic();
    this.#comparedAt = now;
    this.#wallOffset = sources.wall() - now;
    this.#bootReadAt = now;
    this.#bootOffset = sources.sinceBoot() - now;
  }

  /** Reads for how long the machine was suspended since the start. @param now the steady clock's time now */
  read(now: number): number {
    if (now - this.#comparedAt < COMPARE_INTERVAL_MS) return this.#suspendedMs;
    this.#comparedAt = now;
    const offset = this.sources.wall() - now;
    const jump = offset - this.#wallOffset;
    this.#wallOffset = offset;
    const hasJumped = Math.abs(jump) >= MIN_JUMP_MS;
    if (!hasJumped && now - this.#bootReadAt < BOOT_READ_INTERVAL_MS) return this.#suspendedMs;
    const bootJump = this.#readBootJump(now);
    const isTrusted = this.#steadyReads >= MIN_STEADY_READS;
    if (jump >= MIN_JUMP_MS && isTrusted && Math.abs(bootJump - jump) <= 2 * MAX_DRIFT_MS) {
      this.#suspendedMs += bootJump;
    } else this.#steadyReads = Math.abs(bootJump) <= MAX_DRIFT_MS ? this.#steadyReads + 1 : 0;
    return this.#suspendedMs;
  }

  /** Reads by how much the time since boot has leapt against the steady clock since it was last read. */
  #readBootJump(now: number): number {
    this.#bootReadAt = now;
    const bootOffset = this.sources.sinceBoot() - now;
    const jump = bootOffset - this.#bootOffset;
    this.#bootOffset = bootOffset;
    return jump;
  }
}
