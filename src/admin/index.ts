/** The administration interface for operators. */
export * from './auth.js';
export * from './routes.js';
export * from './server.js';
