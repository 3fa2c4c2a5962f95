/**
 * Stand-ins for the outside systems, for tests and tools: the platform's store, targets and a
 * site's configuration.
 */
export * from './store.js';
export * from './target.js';
export * from './kv-server.js';
export * from './site.js';
export * from './target-slots.js';
