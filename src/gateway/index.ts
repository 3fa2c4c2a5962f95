/** The gateway daemon on the users' platform. */
export * from './gateway.js';
export * from './settings.js';
