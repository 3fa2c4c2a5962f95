/**
 * Time-outs that a late event loop does not bring about.
 *
 * A loop that is late runs its timers before it reads what has come meanwhile, so a time-out would end what was
 * answered in time: a connection that was there is given up by a loop that comes round after 300 ms
 * (`test/large-fleet.test.ts`), and opening it anew makes the loop later still. Here the action runs after one
 * more look at what has come.
 */
import type { Timer } from './clock.js';

/** Calls `action` after `delay` milliseconds, unless what comes until then, or is read then, cancels it. */
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
