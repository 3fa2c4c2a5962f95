/** The daemons among themselves: who is there, who is a home, and news from those who read the store. */
export * from './roster.js';
export * from './peer-link.js';
export * from './feed.js';
export * from './home-scaler.js';
export * from './datagram.js';
export * from './member-registry.js';
export * from './reader-role.js';
