/** Which service a request goes to: routes by host and path, and shares of a split. */
export * from './route.js';
export * from './split.js';
