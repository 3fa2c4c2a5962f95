/** Bounds on what clients may make a process hold and do. */
export { BodyBuffer } from '../kernel/index.js';
export { ConnectionGuard, type GuardOptions, MANY_FIELDS } from './connection-guard.js';
export { type GuardClosure, MAX_PIPELINED_REQUESTS, hasBody } from './guarded-connection.js';
export { MemoryAccount, MemoryBudget, type MemoryOwner } from './memory-budget.js';
export { ReadTurns, type Reader } from './read-turns.js';
export { RequestMemory, findRequestMemory } from './request-memory.js';
export {
  type ClientLimits,
  type EntryListener,
  type GatewayListener,
  computeEntryLimits,
  computeGatewayLimits,
} from './limits.js';
export { PieceJoiner } from './piece-joiner.js';
