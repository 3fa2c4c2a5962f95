/** News waiting to be passed on: each item is sent a bounded number of times, newest first. */

interface QueuedUpdate {
  readonly key: string;
  remainingSends: number;
}

/** Chooses which items the next message carries. */
export class UpdateQueue {
  #updates: readonly QueuedUpdate[] = [];

  /** Puts an item first, to be sent `times` times. */
  add(key: string, sendCount: number): void {
    const others = this.#updates.filter((rumor) => rumor.key !== key);
    this.#updates = [{ key, remainingSends: sendCount }, ...others];
  }

  /** Takes up to `count` items, those sent least often first. */
  take(count: number): readonly string[] {
    const chosen = [...this.#updates]
      .sort((a, b) => b.remainingSends - a.remainingSends)
      .slice(0, count);
    for (const rumor of chosen) rumor.remainingSends -= 1;
    this.#updates = this.#updates.filter((rumor) => rumor.remainingSends > 0);
    return chosen.map(({ key }) => key);
  }
}
