/**
 * Orchidbeam as a library: everything a program needs to run an entry daemon inside its own kernel.
 * The reference follows the order of these lines.
 */
export * from './kernel/index.js';
export * from './settings/index.js';
export * from './policy/index.js';
export * from './platform/index.js';
export * from './config/index.js';
export * from './balance/index.js';
export * from './measure/index.js';
export * from './once/index.js';
export * from './proxy/index.js';
export * from './peer/index.js';
export * from './member/index.js';
export * from './spread/index.js';
export * from './entry/index.js';
export * from './admin/index.js';
