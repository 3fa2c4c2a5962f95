/**
 * The step of a request at which the quota of its organisation applies: after its organisation is
 * known and before it waits for this daemon's CPU or a target.
 */
import type { Organisation } from '../../routing/index.js';
import { type Admission, type QuotaTicket, UNLIMITED_TICKET } from '../quota/quota-ticket.js';

/** The quotas as requests see them. */
export interface QuotaGate {
  /** Takes a token for a request; a promise while it waits for one. */
  admit(organisation: Organisation): Admission | Promise<Admission>;
  /** Creates the ticket of a call for which another daemon holds the token. */
  createCarriedTicket(organisation: Organisation): QuotaTicket;
}

/** A request that asks for admission. */
export interface QuotaCall {
  /** Undefined where requests need no key. */
  readonly organisation: Organisation | undefined;
  /** Whether another daemon has admitted it and sent it here to be carried. */
  readonly isCarried: boolean;
  /** Whether its caller has left. */
  readonly hasCallerLeft: () => boolean;
  /** Continues with the request. */
  readonly start: (ticket: QuotaTicket) => void;
  /** Answers that it is over its organisation's quota until `retryAfter` milliseconds from now. */
  readonly refuse: (retryAfter: number) => void;
  /** Ends it without an answer. */
  readonly drop: () => void;
}

function applyAdmission(call: QuotaCall, admission: Admission): void {
  switch (admission.kind) {
    case 'admitted':
      call.start(admission.ticket);
      return;
    case 'refused':
      call.refuse(admission.retryAfter);
      return;
    default:
      admission satisfies never;
  }
}

async function waitForAdmission(call: QuotaCall, pending: Promise<Admission>): Promise<void> {
  const admission = await pending;
  if (!call.hasCallerLeft()) {
    applyAdmission(call, admission);
    return;
  }
  if (admission.kind === 'admitted') admission.ticket.giveBack();
  call.drop();
}

/**
 * Admits a request by the quota of its organisation: at once where the token is there or the limit
 * is known to be reached, otherwise after a short wait.
 *
 * @param onInvariantViolation called when continuing after a wait failed with an unexpected error
 */
export function applyQuota(
  gate: QuotaGate,
  call: QuotaCall,
  onInvariantViolation: (error: Error) => void,
): void {
  const { organisation, isCarried } = call;
  if (organisation?.quota === undefined) {
    call.start(UNLIMITED_TICKET);
    return;
  }
  if (isCarried) {
    call.start(gate.createCarriedTicket(organisation));
    return;
  }
  const admission = gate.admit(organisation);
  if ('kind' in admission) applyAdmission(call, admission);
  else waitForAdmission(call, admission).catch(onInvariantViolation);
}
