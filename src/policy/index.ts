/** Policies: compiling a program, and applying a service's programs to a call. */
export * from './policy.js';
export * from './outcome.js';
