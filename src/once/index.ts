/** At most once across entries, by claims on idempotency keys. */
export * from './claims.js';
