/** How a daemon starts: whether it is the first start of the whole system, and what it waits for. */
import type { GatewaySettings } from './settings.js';

/**
 * How long a starting daemon waits for the state of other daemons before it reads the store itself:
 * some round trips. On the first start of the whole system there are no callers yet, so it waits
 * longer and one read of the store serves all daemons.
 */
export const STATE_WAIT_MS = 60;
const FIRST_START_WAIT_MS = 3000;

/** Whether the whole system starts for the first time. */
export function isFirstStart({ first_start: first }: GatewaySettings['gateway']): boolean {
  return first === 'true';
}

/** Returns how long a starting daemon waits for the state of other daemons, in milliseconds. */
export function findStateWait(gateway: GatewaySettings['gateway']): number {
  if (!isFirstStart(gateway)) return STATE_WAIT_MS;
  const { seeds, ip } = gateway;
  // One daemon has to read the store for the others; they poll the seeds every second.
  return seeds[0]?.host === ip ? 0 : FIRST_START_WAIT_MS;
}
