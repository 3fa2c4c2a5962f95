/** Lets in the calls that other daemons ask this one to carry, and nobody else's. */
import type { IncomingMessage } from 'node:http';
import { HEADERS, readHeader } from '../../platform/index.js';
import { CARRIED_HEADER, type CarriedTerms, checkCarriedHeader } from './carried-terms.js';
import type { FleetKey } from './fleet-key.js';

/** Checks who sent a request to the port for carried calls. */
export class CarryGate {
  /** Requests that were not let in, since the start. */
  rejected = 0;

  constructor(
    private readonly carrier: string,
    private readonly fleetKey: FleetKey,
  ) {}

  /** Returns the terms of a call from another daemon; undefined for any other request. */
  check(request: IncomingMessage): CarriedTerms | undefined {
    const value = readHeader(request.headers, CARRIED_HEADER);
    const key = this.fleetKey.value;
    if (value !== undefined && key !== undefined) {
      const line = {
        ...{
          carrier: this.carrier,
          requestId: readHeader(request.headers, HEADERS.requestId) ?? '',
        },
        ...{ method: request.method ?? '', path: request.url ?? '' },
      };
      const terms = checkCarriedHeader(key, line, value);
      if (terms !== undefined) return terms;
      this.fleetKey.requestRefresh();
    }
    this.rejected += 1;
    return undefined;
  }
}
