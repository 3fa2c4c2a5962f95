/** Membership of the entry daemons: failure detection and gossip. */
export * from './roster.js';
export * from './update-queue.js';
export * from './notices.js';
export * from './membership.js';
