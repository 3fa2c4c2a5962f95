/** The protection of a server that is tested by itself. */
import { createSystemClock } from '../../src/kernel/index.js';
import { computeGatewayLimits, createProtection } from '../../src/overload/index.js';

export const protection = createProtection(computeGatewayLimits(250, 4096), {
  clock: createSystemClock(),
  scheduleAfterIteration: setImmediate,
  isAccepting: () => false,
  onClose: () => undefined,
});
