/** Membership among the entries. */
export * from './roster.js';
export * from './rumors.js';
export * from './notices.js';
export * from './membership.js';
