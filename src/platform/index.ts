/**
 * The platform's key-value service and its list of VMs: interface, client of the store, call
 * budget.
 */
export * from './platform.js';
export * from './kv-platform.js';
export * from './metered.js';
export * from './connector.js';
export * from './wire.js';
export * from './self-report.js';
export * from './documents.js';
export { computeKeyDigest, isKeyDigest, mayHoldKeys, replaceKeys } from './organisations.js';
export * from './kv-store.js';
export * from './read-pages.js';
