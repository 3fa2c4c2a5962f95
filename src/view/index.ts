/** A daemon's view of the configuration and the targets, and how it is read from the store. */
export * from './fleet-view.js';
export * from './store-reader.js';
export * from './propagation-times.js';
