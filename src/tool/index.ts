/** The experiment tool: real daemons under drawn arrivals and scripted faults, and its report. */
export * from './arrivals.js';
export * from './scenario.js';
export * from './rig.js';
export * from './report.js';
export * from './soak.js';
export * from './fit.js';
