/** News waiting to be passed on: each item is sent a bounded number of times, newest first. */

interface Rumor {
  readonly key: string;
  left: number;
}

/** Chooses which items the next message carries. */
export class UpdateQueue {
  #rumors: readonly Rumor[] = [];

  /** Puts an item first, to be sent `times` times. */
  add(key: string, times: number): void {
    const others = this.#rumors.filter((rumor) => rumor.key !== key);
    this.#rumors = [{ key, left: times }, ...others];
  }

  /** Takes up to `count` items, those sent least often first. */
  take(count: number): readonly string[] {
    const chosen = [...this.#rumors].sort((a, b) => b.left - a.left).slice(0, count);
    for (const rumor of chosen) rumor.left -= 1;
    this.#rumors = this.#rumors.filter((rumor) => rumor.left > 0);
    return chosen.map(({ key }) => key);
  }
}
