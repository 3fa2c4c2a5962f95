/** The platform's key-value service and VM list: interface, HTTP adapter, call budget. */
export * from './platform.js';
export * from './http.js';
export * from './metered.js';
export * from './connector.js';
export * from './wire.js';
export * from './documents.js';
export * from './kv-store.js';
