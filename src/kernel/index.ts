/**
 * The kernel and the services that represent the machine: time, randomness, sockets, logs, metrics.
 */
export * from './kernel.js';
export * from './clock.js';
export * from './suspension.js';
export * from './lag-tolerant-timeout.js';
export * from './random.js';
export * from './network.js';
export * from './socket-end.js';
export * from './log-format.js';
export * from './log.js';
export * from './metrics.js';
export * from './secret.js';
export * from './body-buffer.js';
export * from './http-exchange.js';
export * from './json.js';
export * from './request-url.js';
export * from './rate-limited-log.js';
export * from './text-metrics.js';
