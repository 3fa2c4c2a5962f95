/** Budgets that grow with the calls, so that extra work stays a fixed share of them. */

const MAX_TOKENS = 10;

/** Lets extra attempts through at a share of the first attempts. */
export class ShareBudget {
  #tokens = MAX_TOKENS / 2;

  #spent = 0;

  #earned = MAX_TOKENS / 2;

  /** @param percent extra attempts allowed for each hundred first attempts */
  constructor(private readonly percent: number) {}

  /** Extra attempts let through since the start. */
  get spent(): number {
    return this.#spent;
  }

  /** Earns for one first attempt. */
  earn(): void {
    const amount = this.percent / 100;
    this.#earned += amount;
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + amount);
  }

  /** Takes one extra attempt if the budget allows it. */
  spend(): boolean {
    if (this.percent === 0 || this.#tokens < 1) return false;
    this.#tokens -= 1;
    this.#spent += 1;
    return true;
  }

  /** Whether no more was ever spent than earned. */
  isSound(): boolean {
    return this.#spent <= this.#earned;
  }
}
