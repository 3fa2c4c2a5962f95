/**
 * Measures for how long this machine was suspended: the monotonic clock stands still during that
 * time.
 *
 * After a suspension of some seconds a lease, a grant or a list would look as fresh as before. The
 * wall clock then jumps against the monotonic clock, but it also does when somebody sets it. The
 * time since boot jumps only after a suspension. When both jump by the same amount, the machine was
 * suspended.
 */

/** The clocks of the machine. All values are in milliseconds. */
export interface ClockSources {
  /** Monotonic; stands still while the machine is suspended. */
  monotonic(): number;
  /** Wall clock; counts a suspension, and may be set. */
  wall(): number;
  /** Time since boot; counts a suspension, and is never set. */
  sinceBoot(): number;
}

/**
 * A smaller jump is not counted as a suspension: leases and ages here are not counted that finely.
 */
const MIN_JUMP_MS = 200;

/** Interval between two comparisons of the wall clock with the monotonic clock. */
const COMPARE_INTERVAL_MS = 5;

/**
 * Interval between two reads of the time since boot, which check that it advances with the
 * monotonic clock.
 */
const BOOT_READ_INTERVAL_MS = 1000;

/**
 * The time since boot is trusted after it advanced with the monotonic clock for this many reads in
 * a row. In some containers it belongs to another machine and doesn't; a suspension is then missed
 * rather than wrongly detected.
 */
const MIN_STEADY_READS = 3;

/** Largest difference between two clocks that are read one after the other on a busy machine. */
const MAX_DRIFT_MS = 60;

/** Counts the time for which the machine was suspended. */
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

  /**
   * Returns for how long the machine was suspended since the start.
   *
   * @param now the monotonic clock's time now
   */
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

  /** Returns the jump of the time since boot against the monotonic clock since it was last read. */
  #readBootJump(now: number): number {
    this.#bootReadAt = now;
    const bootOffset = this.sources.sinceBoot() - now;
    const jump = bootOffset - this.#bootOffset;
    this.#bootOffset = bootOffset;
    return jump;
  }
}
