/** Notices that targets are leaving, kept for a limited time so that each is accepted only once. */
import type { Notice } from '../peer/index.js';

const MAX_NOTICE_AGE_MS = 10_000;
const MAX_NOTICES_PER_MESSAGE = 8;

/** The recent notices that an entry knows. */
export class NoticeCache {
  readonly #announcedAt = new Map<string, number>();

  /** Adds a notice that is `age` milliseconds old; false when it is known already or too old. */
  add(target: string, age: number, now: number): boolean {
    if (age > MAX_NOTICE_AGE_MS || this.#announcedAt.has(target)) return false;
    this.#announcedAt.set(target, now - age);
    return true;
  }

  /** Lists notices for a message, up to its maximum, and removes expired ones. */
  list(now: number): readonly Notice[] {
    const notices: Notice[] = [];
    for (const [target, at] of this.#announcedAt) {
      if (now - at > MAX_NOTICE_AGE_MS) this.#announcedAt.delete(target);
      else if (notices.length < MAX_NOTICES_PER_MESSAGE) notices.push({ target, age: now - at });
    }
    return notices;
  }
}
