/**
 * A budget for repeats that holds in every sliding window: a share of the requests, and a slack.
 *
 * The budget belongs to all daemons together. Each spends its share of its own requests, which sums
 * to the whole without a message; the slack is divided by the number of homes, and by two, because
 * after a change of homes the old and the new ones fall into one window.
 */
import type { Clock } from '../kernel/index.js';

/** What the operators agreed on. */
export interface WindowBudgetTerms {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed besides, in this daemon. */
  readonly slack: number;
  /** Length of the window in milliseconds. */
  readonly window: number;
}

interface Slice {
  readonly index: number;
  requests: number;
  repeats: number;
}

/** Slices of a window; what is counted lags by at most one of them, on the careful side. */
const SLICES_PER_WINDOW = 40;

/** The part of the share that is used, since counts of two daemons differ by what is under way. */
const SAFETY_SHARE = 0.85;

/** Counts the requests and repeats of one service in this daemon. */
export class WindowBudget {
  #slices: readonly Slice[] = [];

  /** Repeats let through and turned down since the start. */
  readonly counts = { spent: 0, denied: 0 };

  constructor(
    private readonly clock: Clock,
    private readonly readTerms: () => WindowBudgetTerms,
  ) {}

  /** Counts one request of a caller. */
  recordRequest(): void {
    this.#findCurrentSlice().requests += 1;
  }

  /** Takes one repeat if the budget of the last window allows it. */
  spend(): boolean {
    const slice = this.#findCurrentSlice();
    const { ratio, slack } = this.readTerms();
    let requests = 0;
    let repeats = 0;
    for (const past of this.#slices) {
      requests += past.requests;
      repeats += past.repeats;
    }
    if (repeats + 1 > SAFETY_SHARE * ratio * requests + slack) {
      this.counts.denied += 1;
      return false;
    }
    slice.repeats += 1;
    this.counts.spent += 1;
    return true;
  }

  #findCurrentSlice(): Slice {
    const { window } = this.readTerms();
    const index = Math.floor(this.clock.now() / (window / SLICES_PER_WINDOW));
    const last = this.#slices.at(-1);
    if (last !== undefined && last.index === index) return last;
    const slice: Slice = { index, requests: 0, repeats: 0 };
    // One slice more than the window holds, so that no span of its length is counted short.
    this.#slices = [
      ...this.#slices.filter((past) => past.index >= index - SLICES_PER_WINDOW),
      slice,
    ];
    return slice;
  }
}
