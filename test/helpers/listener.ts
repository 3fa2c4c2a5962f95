/** A listener to targets that does nothing. */
import type { TargetListener } from '../../src/gateway/targets/target-news.js';

export const quietListener: TargetListener = {
  onRate: () => undefined,
  onDraining: () => undefined,
  onBackoff: () => undefined,
  onBackoffOver: () => undefined,
  onUnreadable: () => undefined,
  onDeserted: () => undefined,
  onServed: () => undefined,
};
