/** Simulated work that takes time, at a speed that can change while it is under way. */

interface PendingWork {
  /** Milliseconds of work left at normal speed, as of `updatedAt`. */
  remaining: number;
  updatedAt: number;
  timer: NodeJS.Timeout;
  readonly resolve: () => void;
}

/** Runs pieces of simulated work. A change of the slowdown also affects work that is under way. */
export class WorkSimulator {
  #slowdown = 1;

  readonly #pending = new Set<PendingWork>();

  /**
   * Resolves when `duration` milliseconds of work at normal speed are done, stretched by the
   * slowdown in force at each moment, or when `signal` aborts.
   */
  run(duration: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const work: PendingWork = {
        remaining: duration,
        updatedAt: performance.now(),
        timer: setTimeout(() => this.#finish(work), duration * this.#slowdown),
        resolve,
      };
      this.#pending.add(work);
      signal.addEventListener('abort', () => this.#finish(work), { once: true });
    });
  }

  /** Makes each piece of work take `slowdown` times its normal duration from now on. */
  setSlowdown(slowdown: number): void {
    if (slowdown === this.#slowdown) return;
    const now = performance.now();
    for (const work of this.#pending) {
      work.remaining = Math.max(0, work.remaining - (now - work.updatedAt) / this.#slowdown);
      work.updatedAt = now;
      clearTimeout(work.timer);
      work.timer = setTimeout(() => this.#finish(work), work.remaining * slowdown);
    }
    this.#slowdown = slowdown;
  }

  #finish(work: PendingWork): void {
    clearTimeout(work.timer);
    this.#pending.delete(work);
    work.resolve();
  }
}
