/** A whole system on one machine: launching it, and calling it as a caller would. */
export * from './pause.js';
export * from './launch.js';
export * from './caller.js';
export * from './system.js';
export * from './fleet.js';
