/** The platform's key-value service and VM list: interface, HTTP adapter, call budget. */
export * from './platform.js';
export * from './http.js';
export * from './metered.js';
export * from './connector.js';
