/** The operators' command line. */
export * from './command.js';
export * from './run.js';
export { writeReference } from './local-commands.js';
