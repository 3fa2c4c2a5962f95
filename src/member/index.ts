/** Membership among the entries. */
export * from './roster.js';
export * from './update-queue.js';
export * from './notices.js';
export * from './membership.js';
