/**
 * Long randomised runs of the gateway with real processes and faulty links, and checks of what
 * callers and targets observed.
 */
export * from './run.js';
export * from './checker.js';
export * from './plan.js';
export * from './link.js';
