/** The entry daemon. */
export * from './clients.js';
export * from './placement.js';
export * from './pool-runtime.js';
export * from './service-runtime.js';
export * from './service-table.js';
export * from './call-handler.js';
export * from './discovery.js';
export * from './listeners.js';
export * from './relay.js';
export * from './prober.js';
export * from './status.js';
export * from './entry.js';
