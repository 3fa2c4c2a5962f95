/** What a daemon knows of configuration and targets, and how it learns it from the store. */
export * from './fleet-view.js';
export * from './store-reader.js';
export * from './propagation-times.js';
