/** The configuration: documents and their checks, changes, the manifest, the store. */
export * from './service.js';
export * from './operator.js';
export * from './configuration.js';
export * from './change.js';
export * from './manifest.js';
export * from './archive.js';
export * from './store.js';
