/** At-most-once execution across entries, by claims on idempotency keys. */
export * from './claims.js';
