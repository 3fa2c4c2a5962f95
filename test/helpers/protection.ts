/** The protection of a server that is tested by itself. */
import { createSystemClock } from '../../src/kernel/index.js';
import { computeGatewayLimits } from '../../src/overload/index.js';
import { createProtection } from '../../src/proxy/guarded-server.js';

export const protection = createProtection(computeGatewayLimits(250, 4096), {
  clock: createSystemClock(),
  scheduleAfterIteration: setImmediate,
  isAccepting: () => false,
  onClose: () => undefined,
});
