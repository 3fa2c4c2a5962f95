/** Bounds on what clients may make a process hold and do. */
export { BodyBuffer } from './body-buffer.js';
export {
  ConnectionGuard,
  type GuardClosure,
  type GuardOptions,
  MANY_FIELDS,
  MAX_PIPELINED_REQUESTS,
} from './connection-guard.js';
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
