/** Bounds on what other machines may make a process hold and do. */
export {
  type AnswerGuard,
  answerGuardService,
  createAnswerGuard,
  findAnswerMemory,
} from './answer-guard.js';
export { ANSWER_LIMITS, type AnswerLimits } from './answer-limits.js';
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
  computeAnswerBytes,
  computeEntryLimits,
  computeGatewayLimits,
} from './limits.js';
export { InputPace, MAX_TURN_MS } from './input-pace.js';
export { PieceJoiner } from './piece-joiner.js';
