/** HTTP proxying: listeners, request validation, call parsing, attempts at targets, outcomes. */
export * from './outcome.js';
export * from './headers.js';
export * from './call.js';
export * from './body.js';
export * from './answer-meter.js';
export * from './attempt.js';
export * from './ledger.js';
export * from './forwarder.js';
export * from './head-check.js';
export * from './http-listener.js';
