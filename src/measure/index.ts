/** Grants that keep the measuring of targets within one budget for the whole system. */
export * from './grants.js';
