/** Carried calls of one daemon: the key, the daemons that carry its calls, and the way in for theirs. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Log, Random } from '../../kernel/index.js';
import type { AnswerGuard } from '../../overload/index.js';
import type { Roster } from '../../peering/index.js';
import { HEADERS, type KvStore, readHeader } from '../../platform/index.js';
import { announceClose } from '../../proxy/closing-answers.js';
import { type LocalAnswer, writeLocalAnswer } from '../requests/answers.js';
import {
  CARRIED_HEADER,
  type CarriedTerms,
  UNAUTHORISED_REASON,
  checkCarriedHeader,
} from './carried-terms.js';
import { CarrierPool } from './carrier-pool.js';
import { FleetKey } from './fleet-key.js';

/** Options of the service. */
export interface CarryServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly answerGuard?: AnswerGuard;
  readonly log: Log;
  readonly store: KvStore;
  readonly roster: Roster;
  /** The IP address of this daemon, and its failure domain. */
  readonly self: string;
  readonly domain: string;
  readonly findRegion: (domain: string) => string | undefined;
  /** The port on which daemons accept carried calls. */
  readonly port: number;
  readonly isFirstStart: boolean;
  /** Whether this daemon is the one that writes a missing key. */
  readonly isWriter: () => boolean;
  /** Serves a call of another daemon. */
  readonly serve: (
    request: IncomingMessage,
    response: ServerResponse,
    estimatedArrivalAt: number,
    terms: CarriedTerms,
  ) => void;
  readonly onInvariantViolation: (error: Error) => void;
}

/**
 * A call waits this long at most until the key is read that it is checked with: a carrier that has
 * just started has read none yet, and a body that was streamed can't be sent to another one.
 */
const MAX_KEY_WAIT_MS = 250;

/** What anybody but a daemon gets. */
const NOT_A_DAEMON: LocalAnswer = { kind: 'bad-request', status: 403, reason: UNAUTHORISED_REASON };

/** Carrying in both directions. */
export class CarryService {
  readonly fleetKey: FleetKey;

  /** The daemons that may carry calls of this one. */
  readonly pool: CarrierPool;

  /** Requests that came from no daemon, since the start. */
  rejected = 0;

  constructor(private readonly options: CarryServiceOptions) {
    const { roster } = options;
    this.fleetKey = new FleetKey(options);
    this.pool = new CarrierPool({
      ...options,
      listHomes: () => roster.listCarriers(),
      listAll: () => roster.listPossibleCarriers(),
    });
  }

  /** Serves a request to the port for carried calls, if it comes from a daemon. */
  handle(request: IncomingMessage, response: ServerResponse, estimatedArrivalAt: number): void {
    const { serve, onInvariantViolation } = this.options;
    const terms = this.#checkTerms(request);
    if (terms !== undefined) {
      serve(request, response, estimatedArrivalAt, terms);
      return;
    }
    if (readHeader(request.headers, CARRIED_HEADER) === undefined) {
      this.#reject(request, response);
      return;
    }
    this.#handleWithNewKey(request, response, estimatedArrivalAt).catch(onInvariantViolation);
  }

  async #handleWithNewKey(
    request: IncomingMessage,
    response: ServerResponse,
    estimatedArrivalAt: number,
  ): Promise<void> {
    const { clock, serve } = this.options;
    await Promise.race([this.fleetKey.refresh(), clock.sleep(MAX_KEY_WAIT_MS)]);
    const terms = this.#checkTerms(request);
    if (terms === undefined) this.#reject(request, response);
    else serve(request, response, estimatedArrivalAt, terms);
  }

  #reject(request: IncomingMessage, response: ServerResponse): void {
    const { log } = this.options;
    this.rejected += 1;
    log.warn('carry.rejected', {
      ...{ from: request.socket.remoteAddress, path: request.url },
      has_key: this.fleetKey.value !== undefined,
    });
    announceClose(response);
    writeLocalAnswer(response, '', NOT_A_DAEMON);
  }

  #checkTerms(request: IncomingMessage): CarriedTerms | undefined {
    const value = readHeader(request.headers, CARRIED_HEADER);
    const key = this.fleetKey.value;
    if (value === undefined || key === undefined) return undefined;
    const { method = '', url: path = '' } = request;
    const requestId = readHeader(request.headers, HEADERS.requestId) ?? '';
    return checkCarriedHeader(key, { carrier: this.options.self, requestId, method, path }, value);
  }
}
