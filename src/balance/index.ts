/**
 * Load-balancing decisions: choosing a target, queueing or refusing a call, limits, budgets, homes.
 */
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
export * from './wait-queue.js';
export * from './slowdown-model.js';
export * from './refusal-evidence.js';
export * from './route-time.js';
export * from './call-run-time.js';
export * from './lateness.js';
export * from './load-estimate.js';
export * from './expected-time.js';
export * from './knee.js';
export * from './probe-share.js';
export * from './second-attempt.js';
export * from './candidates.js';
export * from './shared-rate.js';
export * from './cold-limit.js';
export * from './advertised-rate.js';
export * from './rate-ramp.js';
export * from './availability.js';
export * from './failure-rate.js';
export * from './failure-trial.js';
export * from './full-limit.js';
export * from './poison.js';
export * from './target-reach.js';
export * from './call-path.js';
export * from './quota-bucket.js';
export * from './quota-demand.js';
export { UploadPace, type UploadState } from './upload-pace.js';
