/**
 * Comparison of secrets in constant time, so that its duration doesn't reveal how much of a guess
 * is right.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

/** Whether two secrets are equal. */
export function matchesSecret(given: string, secret: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(given), digest(secret));
}
