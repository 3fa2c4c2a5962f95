/**
 * Time-outs that tolerate a late event loop.
 *
 * A late loop runs its timers before it reads the input that has arrived meanwhile, so a plain
 * time-out would fail what was answered in time. A loop that is 300 ms late would give up a
 * connection that was already open (`test/large-fleet.test.ts`), and reopening it makes the loop
 * later still. Here the action runs after the loop has polled for input once more.
 */
import type { Timer } from './clock.js';

/**
 * Calls `action` after `delay` milliseconds and one more poll for input, unless it is cancelled by
 * then.
 */
export function scheduleLagTolerantTimeout(delay: number, action: () => void): Timer {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(action);
  }, delay);
  return {
    cancel: () => {
      clearTimeout(timer);
      if (immediate !== undefined) clearImmediate(immediate);
    },
  };
}
