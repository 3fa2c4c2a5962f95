/**
 * A retry budget that holds in every sliding window: a share of the requests, plus a slack.
 *
 * The budget belongs to all daemons together. Each uses its share of its own requests, and these
 * add up to the whole without any message. The slack is divided by the number of homes, and by two,
 * because after a change of homes the old and the new ones may fall into the same window.
 */
import type { Clock } from '../kernel/index.js';

/** The terms agreed with the operators. */
export interface WindowBudgetTerms {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed on top of that, in this daemon. */
  readonly slack: number;
  /** Length of the window in milliseconds. */
  readonly window: number;
}

interface Slice {
  readonly index: number;
  requests: number;
  repeats: number;
}

/** Slices per window. A count may lag by one slice, which only makes the budget smaller. */
const SLICES_PER_WINDOW = 40;

/**
 * Share of the ratio that is used, because the counts of two daemons differ by the calls in
 * progress.
 */
const SAFETY_SHARE = 0.85;

/** The requests and retries of one service in this daemon. */
export class WindowBudget {
  #slices: readonly Slice[] = [];

  /** Retries allowed and denied since the start. */
  readonly counts = { spent: 0, denied: 0 };

  constructor(
    private readonly clock: Clock,
    private readonly readTerms: () => WindowBudgetTerms,
  ) {}

  /** Counts one request of a caller. */
  recordRequest(): void {
    this.#findCurrentSlice().requests += 1;
  }

  /** Whether at least half of the retries of the last window are left. */
  isHalfLeft(): boolean {
    const { repeats, allowed } = this.#sumWindow();
    return repeats + 1 <= allowed / 2;
  }

  /** Takes one retry; false if the budget of the last window does not allow it. */
  spend(): boolean {
    const slice = this.#findCurrentSlice();
    const { repeats, allowed } = this.#sumWindow();
    if (repeats + 1 > allowed) {
      this.counts.denied += 1;
      return false;
    }
    slice.repeats += 1;
    this.counts.spent += 1;
    return true;
  }

  /** Counts the retries of the last window, and how many it allows. */
  #sumWindow(): { readonly repeats: number; readonly allowed: number } {
    const { ratio, slack } = this.readTerms();
    let requests = 0;
    let repeats = 0;
    for (const past of this.#slices) {
      requests += past.requests;
      repeats += past.repeats;
    }
    return { repeats, allowed: SAFETY_SHARE * ratio * requests + slack };
  }

  #findCurrentSlice(): Slice {
    const { window } = this.readTerms();
    const index = Math.floor(this.clock.now() / (window / SLICES_PER_WINDOW));
    const last = this.#slices.at(-1);
    if (last !== undefined && last.index === index) return last;
    const slice: Slice = { index, requests: 0, repeats: 0 };
    // Keeps one slice more than the window has, so that no span of its length is undercounted.
    this.#slices = [
      ...this.#slices.filter((past) => past.index >= index - SLICES_PER_WINDOW),
      slice,
    ];
    return slice;
  }
}
