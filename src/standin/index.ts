/** Stand-ins for the outside systems: the platform's service and targets. */
export * from './store.js';
export * from './target.js';
export * from './kv-server.js';
export * from './site.js';
