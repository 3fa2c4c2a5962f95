/** Calls over HTTP: the door, reading a call, attempts at targets, and what a caller is told. */
export * from './outcome.js';
export * from './headers.js';
export * from './call.js';
export * from './body.js';
export * from './attempt.js';
export * from './ledger.js';
export * from './forwarder.js';
export * from './head-check.js';
export * from './http-listener.js';
