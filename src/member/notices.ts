/** Notices that targets are leaving, kept for a while so that each is passed on once. */
import type { Notice } from '../peer/index.js';

const LIFE = 10_000;
const MAX_LISTED = 8;

/** The notices that an entry knows. */
export class NoticeCache {
  readonly #heardAt = new Map<string, number>();

  /** Adds a notice of an age; false when it is known or too old. */
  add(target: string, age: number, now: number): boolean {
    if (age > LIFE || this.#heardAt.has(target)) return false;
    this.#heardAt.set(target, now - age);
    return true;
  }

  /** Lists some notices for a message, and forgets the old ones. */
  list(now: number): readonly Notice[] {
    const notices: Notice[] = [];
    for (const [target, at] of this.#heardAt) {
      if (now - at > LIFE) this.#heardAt.delete(target);
      else if (notices.length < MAX_LISTED) notices.push({ target, age: now - at });
    }
    return notices;
  }
}
