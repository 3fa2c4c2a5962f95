/** Settings and configuration texts in INI; mistakes are reported with file and line. */
export * from './ini.js';
export * from './suggest.js';
export * from './schema.js';
export * from './file.js';
export * from './entry.js';
