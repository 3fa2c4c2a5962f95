/**
 * The memory that a process may hold for its clients, over all connections.
 *
 * A bound on each connection does not bound a crowd of them. When all together hold too much, those
 * that hold the most are ended, so that the others, which hold little, are still served. Work that
 * was passed on to others goes last, as it may run although it is ended here.
 */

/** Whoever holds memory; gives it back when told to. */
export interface MemoryOwner {
  /**
   * Ends what was not passed on, and gives its memory back; returns whether there was any. Without
   * it, nothing is ever passed on.
   */
  shed?(): boolean;
  /** Ends what holds the memory and closes the account. */
  evict(): void;
}

/** After an eviction, at most this part of the limit is held, so that evictions are rare. */
const REMAINING_PART = 0.9;

/**
 * What owners have not passed on is spared where they hold less than this part of the mean: ending
 * it would give little back.
 */
const MIN_SHED_PART = 0.5;

/** What one owner holds. Amounts are estimates, in bytes. */
export class MemoryAccount {
  #held = 0;

  constructor(
    private readonly budget: MemoryBudget,
    readonly owner: MemoryOwner,
  ) {}

  /** What is held now. */
  get held(): number {
    return this.#held;
  }

  /** Adds to what is held; may end the owners that hold the most, this one included. */
  charge(bytes: number): void {
    this.#change(bytes);
    this.budget.enforce();
  }

  /** Gives back some of what is held. */
  release(bytes: number): void {
    this.#change(-Math.min(bytes, this.#held));
  }

  /** Gives back everything. */
  close(): void {
    this.release(this.#held);
  }

  #change(bytes: number): void {
    this.#held += bytes;
    this.budget.record(this, bytes);
  }
}

/** The memory that the connections of a process may hold together. */
export class MemoryBudget {
  #held = 0;

  /** Owners that were ended since the start. */
  evictions = 0;

  readonly #accounts = new Set<MemoryAccount>();

  #isEnforcing = false;

  /** @param limit in bytes */
  constructor(readonly limit: number) {}

  /** What all accounts hold, in bytes. */
  get held(): number {
    return this.#held;
  }

  /** Opens an account that holds nothing yet. */
  open(owner: MemoryOwner): MemoryAccount {
    return new MemoryAccount(this, owner);
  }

  /** Records a change of an account. */
  record(account: MemoryAccount, bytes: number): void {
    this.#held += bytes;
    if (account.held > 0) this.#accounts.add(account);
    else this.#accounts.delete(account);
  }

  /**
   * Ends the owners that hold the most while more is held than the limit allows: first what they
   * have not passed on, where they hold more than others, and then everything.
   */
  enforce(): void {
    if (this.#held <= this.limit || this.#isEnforcing) return;
    this.#isEnforcing = true;
    const minimum = (this.#held / this.#accounts.size) * MIN_SHED_PART;
    const largestFirst = [...this.#accounts].sort((one, other) => other.held - one.held);
    for (const account of largestFirst) {
      if (this.#isWithinLimit || account.held < minimum) break;
      this.#shed(account);
    }
    for (const account of largestFirst) {
      if (this.#isWithinLimit) break;
      if (account.held > 0) this.#evict(account);
    }
    this.#isEnforcing = false;
  }

  get #isWithinLimit(): boolean {
    return this.#held <= this.limit * REMAINING_PART;
  }

  #shed(account: MemoryAccount): void {
    const { owner } = account;
    if (owner.shed === undefined) this.#evict(account);
    else if (owner.shed()) this.evictions += 1;
  }

  #evict(account: MemoryAccount): void {
    this.evictions += 1;
    account.owner.evict();
    account.close();
  }
}
