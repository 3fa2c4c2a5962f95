/** Policies: compiles programs and applies a service's policies to a call. */
export * from './policy.js';
export * from './outcome.js';
