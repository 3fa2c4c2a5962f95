/** Work that takes time, at a pace that can change while it is under way. */

interface Work {
  /** Milliseconds of work left at the ordinary pace, as of `since`. */
  left: number;
  since: number;
  timer: NodeJS.Timeout;
  readonly done: () => void;
}

/** Runs pieces of work; a slowdown slows also those that are under way. */
export class Pace {
  #factor = 1;

  readonly #works = new Set<Work>();

  /**
   * Resolves when `duration` milliseconds of work are done at the pace of each moment, or when
   * `signal` aborts.
   */
  work(duration: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const work: Work = {
        left: duration,
        since: performance.now(),
        timer: setTimeout(() => this.#finish(work), duration * this.#factor),
        done: resolve,
      };
      this.#works.add(work);
      signal.addEventListener('abort', () => this.#finish(work), { once: true });
    });
  }

  /** Makes each piece of work take `factor` times as long from now on. */
  setFactor(factor: number): void {
    if (factor === this.#factor) return;
    const now = performance.now();
    for (const work of this.#works) {
      work.left = Math.max(0, work.left - (now - work.since) / this.#factor);
      work.since = now;
      clearTimeout(work.timer);
      work.timer = setTimeout(() => this.#finish(work), work.left * factor);
    }
    this.#factor = factor;
  }

  #finish(work: Work): void {
    clearTimeout(work.timer);
    this.#works.delete(work);
    work.done();
  }
}
