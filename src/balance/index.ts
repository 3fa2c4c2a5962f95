/** Choosing a target, holding a call, or refusing it: pools, queues, limits, budgets, homes. */
export * from './estimate.js';
export * from './limit.js';
export * from './target.js';
export * from './strategy.js';
export * from './queue.js';
export * from './budget.js';
export * from './home.js';
export * from './pool.js';
export * from './window-budget.js';
export * from './admission.js';
export * from './slowdown-memory.js';
export * from './route-time.js';
export * from './load-belief.js';
export * from './expected-time.js';
export * from './knee.js';
export * from './probe-share.js';
export * from './second-attempt.js';
