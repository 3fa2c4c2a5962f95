/** Long randomised runs of the gateway: real processes, links that fail, and what callers saw of it. */
export * from './run.js';
export * from './checker.js';
export * from './plan.js';
export * from './link.js';
