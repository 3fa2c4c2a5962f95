/** Measuring targets within one budget for the whole system. */
export * from './grants.js';
