/**
 * Communication between daemons: which ones are alive, which are homes, and changes from those that
 * read the store.
 */
export * from './roster.js';
export * from './peer-link.js';
export * from './poller-table.js';
export * from './feed.js';
export * from './home-scaler.js';
export * from './datagram.js';
export * from './quota-datagram.js';
export * from './member-registry.js';
export * from './reader-role.js';
