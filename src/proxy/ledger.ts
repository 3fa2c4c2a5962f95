/** The account of what was sent for one call, by which every outcome is judged. */
import { assertInvariant } from '../kernel/index.js';

/** Counts the sendings of a call that were not shown to be without effect. */
export class SendLedger {
  #possiblyRun = 0;

  /** @param repeatable whether the call may be repeated */
  constructor(private readonly repeatable: boolean) {}

  /** Notes that the first byte of a sending may have been written. */
  recordSent(): void {
    this.#possiblyRun += 1;
    assertInvariant(
      this.repeatable || this.#possiblyRun <= 1,
      'a call that may not be repeated is sent at most once',
    );
  }

  /** Notes that a sending was shown not to have run. */
  recordNotRun(): void {
    this.#possiblyRun -= 1;
  }

  /** Checks that nothing is left that may have run. */
  assertNotRun(): void {
    assertInvariant(this.#possiblyRun === 0, 'not run is said only when no sending may have run');
  }

  /** Whether a sending is left that may have run. */
  get mayHaveRun(): boolean {
    return this.#possiblyRun > 0;
  }
}
