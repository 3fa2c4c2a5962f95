/** A caller as `docs/CALLERS.md` describes one: asks which entries to use, and keeps the answer. */
import { Agent, type Dispatcher } from 'undici';
import type { EntryAnswer } from '../entry/index.js';

/** What became of one call in the caller's sight. */
export type CallResult =
  | { readonly kind: 'whole'; readonly status: number }
  /** An answer came, and it is not the whole answer to this call: never allowed. */
  | { readonly kind: 'wrong'; readonly detail: string }
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** A call to make. */
export interface CallPlan {
  readonly service: string;
  readonly host: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Echoed by the stand-in target, so that a stranger's answer shows. */
  readonly token: string;
  readonly bytes: number;
  readonly idempotencyKey?: string;
  readonly class?: string;
  readonly deadline?: number;
  readonly caller?: string;
}

interface KeptAnswer {
  readonly answer: EntryAnswer;
  readonly until: number;
}

interface EchoBody {
  readonly token: string | null;
  readonly bytes: number;
}

const UPLOAD_CHUNK = Buffer.alloc(65_536, 'x');

function* buildUpload(bytes: number): Generator<Buffer> {
  for (let left = bytes; left > 0; left -= UPLOAD_CHUNK.length) {
    yield left >= UPLOAD_CHUNK.length ? UPLOAD_CHUNK : UPLOAD_CHUNK.subarray(0, left);
  }
}

/** Makes calls through the entries. */
export class Caller {
  readonly #answers = new Map<string, KeptAnswer>();

  readonly #agent = new Agent({
    connections: 512,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  /** @param entries addresses of entries to ask, from the caller's own settings */
  constructor(private readonly entries: readonly string[]) {}

  /** Returns the addresses for a service, in order, from the kept answer or a new one. */
  async findEntries(service: string): Promise<readonly string[]> {
    const kept = this.#answers.get(service);
    if (kept !== undefined && performance.now() < kept.until) return listAddresses(kept.answer);
    for (const entry of this.entries) {
      const answer = await this.#ask(entry, service);
      if (answer === undefined) continue;
      this.#answers.set(service, { answer, until: performance.now() + answer.ttl });
      return listAddresses(answer);
    }
    return kept === undefined ? this.entries : listAddresses(kept.answer);
  }

  /** Makes a call; when an entry cannot be reached at all, the next one is used. */
  async call(plan: CallPlan): Promise<CallResult> {
    const addresses = await this.findEntries(plan.service);
    for (const address of addresses) {
      const result = await this.#callEntry(address, plan);
      if (result !== 'not-connected') return result;
      this.#answers.delete(plan.service);
    }
    return { kind: 'not-run', reason: 'no entry can be reached' };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #ask(entry: string, service: string): Promise<EntryAnswer | undefined> {
    const path = `/.well-known/orchidbeam/entries?service=${service}`;
    try {
      const reply = await this.#agent.request({ origin: `http://${entry}`, path, method: 'GET' });
      if (reply.statusCode === 200) return (await reply.body.json()) as EntryAnswer;
      await reply.body.dump();
    } catch {
      return undefined;
    }
    return undefined;
  }

  async #callEntry(address: string, plan: CallPlan): Promise<CallResult | 'not-connected'> {
    const headers: Record<string, string> = { host: plan.host, 'x-token': plan.token };
    if (plan.idempotencyKey !== undefined) headers['idempotency-key'] = plan.idempotencyKey;
    if (plan.class !== undefined) headers['orchidbeam-class'] = plan.class;
    if (plan.caller !== undefined) headers['orchidbeam-caller'] = plan.caller;
    if (plan.deadline !== undefined) headers['orchidbeam-deadline'] = String(plan.deadline);
    if (plan.bytes > 0) headers['content-length'] = String(plan.bytes);
    try {
      const reply = await this.#agent.request({
        ...{ origin: `http://${address}`, path: plan.path, method: plan.method, headers },
        body:
          plan.bytes > 0
            ? (buildUpload(plan.bytes) as unknown as Dispatcher.DispatchOptions['body'])
            : null,
      });
      return await readResult(plan, reply);
    } catch (error) {
      const { code = '' } = error as NodeJS.ErrnoException;
      if (code === 'ECONNREFUSED') return 'not-connected';
      return { kind: 'unknown', reason: `connection: ${code}` };
    }
  }
}

function listAddresses(answer: EntryAnswer): readonly string[] {
  const homes = answer.entries.filter(({ weight }) => weight > 0);
  const start = Math.floor(Math.random() * homes.length);
  const turned = [...homes.slice(start), ...homes.slice(0, start)];
  const rest = answer.entries.filter(({ weight }) => weight === 0);
  return [...turned, ...rest].map(({ address }) => address);
}

async function readResult(plan: CallPlan, reply: Dispatcher.ResponseData): Promise<CallResult> {
  const outcome = reply.headers['orchidbeam-outcome'];
  const text = await reply.body.text();
  if (outcome === 'not-run' || outcome === 'unknown') {
    const { reason } = JSON.parse(text) as { readonly reason: string };
    return { kind: outcome, reason };
  }
  try {
    const body = JSON.parse(text) as EchoBody;
    if (body.token === plan.token && body.bytes === plan.bytes) {
      return { kind: 'whole', status: reply.statusCode };
    }
    return { kind: 'wrong', detail: `token ${body.token}, ${body.bytes} bytes` };
  } catch {
    return reply.statusCode >= 500
      ? { kind: 'whole', status: reply.statusCode }
      : { kind: 'wrong', detail: `status ${reply.statusCode}, ${text.length} bytes` };
  }
}
