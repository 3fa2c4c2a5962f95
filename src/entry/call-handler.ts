/** Handles the calls that arrive at one entry, from the request's head to the response's end. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { type Clock, type Log, type Metrics, type Random } from '../kernel/index.js';
import type { Service } from '../config/index.js';
import type { Claims } from '../once/index.js';
import type { Member } from '../peer/index.js';
import { type PolicyOutcome, PASS_OUTCOME, applyPolicies } from '../policy/index.js';
import {
  type Body,
  BufferBudget,
  type Call,
  type CallEnd,
  Forwarder,
  type Outcome,
  STOPPING_REASON,
  createNotRun,
  createUnknown,
  findClass,
  sendContinue,
  findBufferSize,
  readCall,
  readCallId,
  readBody,
  createCallView,
  writeOutcome,
} from '../proxy/index.js';
import type { Clients } from './clients.js';
import type { PoolRuntime } from './pool-runtime.js';
import { relayCall } from './relay.js';
import type { ServiceRuntime } from './service-runtime.js';
import type { ServiceTable } from './service-table.js';

/** Dependencies and limits of a {@link CallHandler}. */
export interface CallHandlerOptions {
  readonly table: ServiceTable;
  readonly clients: Clients;
  readonly claims: Claims;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Most calls in flight at once. */
  readonly maxCalls: number;
  readonly logCalls: 'all' | 'failed' | 'none';
  /** Secret that entries send with the calls they relay to each other. */
  readonly relaySecret: string;
  /** Member id of this entry. */
  readonly selfId: () => string;
  /** Whether any configuration is known. */
  readonly isConfigured: () => boolean;
  /** Milliseconds since the configuration was last shown to be current. */
  readonly readProofAge: () => number;
  /** Called with the address of a target that reports that it is draining. */
  readonly onTargetLeaving: (target: string) => void;
}

/** A call being handled, with its service and its request and response. */
interface CallContext {
  readonly runtime: ServiceRuntime;
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
  /** Whether another entry relayed the call; it is then always served here. */
  readonly relayed: boolean;
}

const MAX_TOTAL_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Retry-after of refusals that are expected to pass soon. */
const RETRY_AFTER_MS = 1000;

/** Handles the calls of one entry. */
export class CallHandler {
  #active = 0;

  readonly #buffers = new BufferBudget(MAX_TOTAL_BUFFERED_BYTES);

  readonly #abortControllers = new Set<AbortController>();

  constructor(private readonly options: CallHandlerOptions) {}

  /** Number of calls in flight. */
  get activeCalls(): number {
    return this.#active;
  }

  /** Ends all calls in flight: each gets its outcome, or is cut if its answer had begun. */
  abortAll(): void {
    for (const controller of this.#abortControllers) controller.abort(STOPPING_REASON);
  }

  /** Handles one request; `relayed` says that another entry sent it. */
  serve(request: IncomingMessage, response: ServerResponse, relayed: boolean): void {
    const id = readCallId(request, this.options.random);
    const controller = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) controller.abort();
    });
    this.#active += 1;
    this.#abortControllers.add(controller);
    this.#serveRequest(request, response, { id, relayed, signal: controller.signal })
      .catch((error: Error) => {
        // Only a violated invariant gets here. The process must not go on serving.
        this.options.log.error('call.broken', { call: id, error: error.stack ?? error.message });
        response.destroy();
        throw error;
      })
      .finally(() => {
        this.#active -= 1;
        this.#abortControllers.delete(controller);
        // Drains the unread rest of the body, so that the caller can receive the answer.
        if (!request.complete && !request.destroyed) request.resume();
      });
  }

  async #serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
    {
      id,
      relayed,
      signal,
    }: { readonly id: string; readonly relayed: boolean; readonly signal: AbortSignal },
  ): Promise<void> {
    const refuse = (outcome: Outcome) => {
      this.options.metrics.count('call', 1, { end: outcome.kind, reason: outcome.reason });
      this.#writeOutcome(response, id, outcome);
    };
    const runtime = this.#findRuntime(request);
    if ('kind' in runtime) {
      refuse(runtime);
      return;
    }
    const { service } = runtime;
    const now = this.options.clock.now();
    const parsed = readCall(request, { service, id, now });
    if (parsed.isLeft()) {
      refuse(parsed.swap().unsafeCoerce());
      return;
    }
    const call = parsed.unsafeCoerce();
    runtime.rate.add(now);
    const context = { runtime, call, request, response, signal, relayed };
    const end = await this.#handleCall(context);
    this.#finishCall(context, end);
  }

  #findRuntime(request: IncomingMessage): ServiceRuntime | Outcome {
    const { options } = this;
    if (this.#active > options.maxCalls) {
      return createNotRun('too-many-calls', 'this entry holds its most calls', RETRY_AFTER_MS);
    }
    if (!options.isConfigured()) {
      return createNotRun('no-configuration', 'no configuration is known here yet', RETRY_AFTER_MS);
    }
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
    const runtime = options.table.find(request.headers.host ?? '', path);
    if (runtime === undefined) {
      return createNotRun('unknown-service', 'no service has this host and path');
    }
    return this.#checkFreshness(runtime.service) ?? runtime;
  }

  #checkFreshness(service: Service): Outcome | undefined {
    if (service.when_stale === 'serve') return undefined;
    if (this.options.readProofAge() <= service.stale_after) return undefined;
    const detail = 'this entry cannot show that its configuration is current';
    return createNotRun('configuration-not-current', detail, RETRY_AFTER_MS);
  }

  async #handleCall(context: CallContext): Promise<CallEnd> {
    const home = this.#chooseOtherHome(context);
    if (home !== undefined) {
      const { clients, clock, relaySecret: secret } = this.options;
      context.runtime.counts.relayed += 1;
      const end = await relayCall(context, home, { clients, clock, secret });
      if (end !== 'not-reached') return end;
    }
    const ruling = this.#applyPolicies(context);
    if (ruling.refusal !== undefined) {
      return { kind: 'told', outcome: createNotRun('policy', ruling.refusal, RETRY_AFTER_MS) };
    }
    const body = await this.#readBody(context);
    if (body === undefined) return { kind: 'gone' };
    try {
      return await this.#runAtMostOnce(context, ruling, body);
    } finally {
      if (body.kind === 'buffered') this.#buffers.release(body.reserved);
    }
  }

  /**
   * Returns the home to relay the call to, or undefined when this entry serves it itself. A home
   * with waiting calls shares them with the other homes: its callers may still know only this one.
   */
  #chooseOtherHome({ runtime, relayed }: CallContext): Member | undefined {
    const { isHome, sharesTargets, plan } = runtime.placement;
    if (relayed || (isHome && !(sharesTargets && this.#hasWaitingCalls(runtime)))) return undefined;
    const homes = plan.homes.filter(({ state }) => state === 'live');
    const chosen = homes[Math.floor(this.options.random.next() * homes.length)];
    return chosen?.id === this.options.selfId() ? undefined : chosen;
  }

  #hasWaitingCalls(runtime: ServiceRuntime): boolean {
    if (runtime.placement.plan.homes.length < 2) return false;
    return this.#findPool(runtime, undefined).pool.waiting > 0;
  }

  #applyPolicies({ runtime, call, request }: CallContext): PolicyOutcome {
    const { policies } = runtime.service;
    if (policies.length === 0) return PASS_OUTCOME;
    const pool = this.#findPool(runtime, undefined).pool.readLoad();
    const view = { call: createCallView(call, request, this.options.clock.now()), pool };
    const ruling = applyPolicies(policies, view);
    for (const name of ruling.failures) {
      runtime.counts.policyFailures += 1;
      this.options.metrics.count('policy.failed', 1, {
        service: runtime.service.name,
        policy: name,
      });
      this.options.log.warn('policy.failed', { call: call.id, policy: name });
    }
    return ruling;
  }

  #findPool(runtime: ServiceRuntime, name: string | undefined): PoolRuntime {
    return runtime.findPool(name, this.options.table.readVmView(), this.options.selfId());
  }

  /** Buffers a short body; undefined when the caller ended it early. */
  async #readBody({ call, request, response }: CallContext): Promise<Body | undefined> {
    if (call.bodyLength === 0) return { kind: 'none' };
    const size = findBufferSize(call);
    if (size === undefined || !this.#buffers.take(size)) return { kind: 'stream', request };
    sendContinue(request, response);
    try {
      const data = await readBody(request);
      if (data !== undefined) return { kind: 'buffered', data, reserved: size };
      this.#buffers.release(size);
      return { kind: 'stream', request };
    } catch {
      this.#buffers.release(size);
      return undefined;
    }
  }

  /** Forwards the call; if it may not be repeated, claims its idempotency key first, if any. */
  async #runAtMostOnce(context: CallContext, ruling: PolicyOutcome, body: Body): Promise<CallEnd> {
    const { runtime, call } = context;
    if (call.repeatable || call.idempotencyKey === undefined) {
      return this.#forward(context, ruling, body);
    }
    const claim = await this.options.claims.claim({
      service: runtime.service.name,
      key: call.idempotencyKey,
      request: `${call.method} ${call.path}`,
      window: runtime.service.replay_window,
      deadline: call.receivedAt + call.timeAllowed,
    });
    switch (claim.kind) {
      case 'claimed': {
        const end = await this.#forward(context, ruling, body);
        const notRun = end.kind === 'told' && end.outcome.kind === 'not-run';
        if (notRun) await claim.release();
        return end;
      }
      case 'duplicate': {
        const detail = 'a call with this idempotency key was sent before; it may have run';
        return { kind: 'told', outcome: createUnknown('duplicate', detail) };
      }
      case 'mismatch': {
        const detail = `the idempotency key belongs to ${claim.request}`;
        return { kind: 'told', outcome: createNotRun('key-reused', detail) };
      }
      case 'unproven': {
        const detail = `it cannot be shown that the call runs at most once: ${claim.reason}`;
        return { kind: 'told', outcome: createNotRun('claim-unproven', detail, RETRY_AFTER_MS) };
      }
      default:
        return claim satisfies never;
    }
  }

  async #forward(context: CallContext, ruling: PolicyOutcome, body: Body): Promise<CallEnd> {
    const { runtime, call, request, response, signal } = context;
    const { clients, clock, metrics } = this.options;
    const pool = this.#findPool(runtime, ruling.pool);
    const connections = pool.countConnections(runtime.placement.plan.homes.length);
    const forwarder = new Forwarder(
      {
        pool: pool.pool,
        class: findClass(runtime.service, ruling.class ?? call.className),
        hold: ruling.hold,
        retryBudget: runtime.retryBudget,
        hedgeBudget: runtime.hedgeBudget,
        findClient: (target) => clients.find(target.address, connections),
        clock,
        onTargetLeaving: this.options.onTargetLeaving,
      },
      { call, body, request, response, signal },
    );
    const end = await forwarder.run();
    const tags = { service: runtime.service.name };
    const { retries, hedges, waited } = forwarder.cost;
    if (retries > 0) metrics.count('call.retry', retries, tags);
    if (hedges > 0) metrics.count('call.hedge', hedges, tags);
    if (waited > 0) metrics.time('call.wait', waited, tags);
    return end;
  }

  #finishCall(context: CallContext, end: CallEnd): void {
    const { runtime, call, response } = context;
    if (end.kind === 'told') this.#writeOutcome(response, call.id, end.outcome);
    this.#countEnd(runtime, end);
    const { metrics, clock } = this.options;
    const elapsed = clock.now() - call.receivedAt;
    const name = end.kind === 'told' ? end.outcome.kind : end.kind;
    metrics.count('call', 1, { service: runtime.service.name, end: name });
    metrics.time('call.time', elapsed, { service: runtime.service.name });
    this.#logEnd(context, end, elapsed);
  }

  #countEnd({ counts }: ServiceRuntime, end: CallEnd): void {
    switch (end.kind) {
      case 'answered':
        counts.answered += 1;
        return;
      case 'cut':
        counts.cut += 1;
        return;
      case 'gone':
        counts.gone += 1;
        return;
      case 'told':
        if (end.outcome.kind === 'not-run') counts.notRun += 1;
        else counts.unknown += 1;
        return;
      default:
        end satisfies never;
    }
  }

  #logEnd({ runtime, call }: CallContext, end: CallEnd, elapsed: number): void {
    const { logCalls, log } = this.options;
    if (logCalls === 'none' || (logCalls === 'failed' && end.kind === 'answered')) return;
    const outcome = end.kind === 'told' ? end.outcome : undefined;
    log.info('call.end', {
      ...{ call: call.id, service: runtime.service.name, method: call.method, path: call.path },
      ...{ end: outcome?.kind ?? end.kind, reason: outcome?.reason, took: Math.round(elapsed) },
      status: end.kind === 'answered' ? end.status : undefined,
      target: 'target' in end ? end.target : undefined,
    });
  }

  #writeOutcome(response: ServerResponse, id: string, outcome: Outcome): void {
    if (response.destroyed || response.writableEnded) return;
    writeOutcome(response, id, outcome);
  }
}
