/**
 * Decides which service a request goes to: routes by host and path, and traffic splits by weight.
 */
export * from './organisation.js';
export * from './route.js';
export * from './split.js';
