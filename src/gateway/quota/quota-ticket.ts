/** What a call holds of its organisation's quota. */

/** The tokens of one call. */
export interface QuotaTicket {
  /** Returns the call's token, because it has not run. Has no effect when called again. */
  giveBack(): void;
  /** Takes a token for a further attempt of the call; returns whether there was one. */
  takeRepeat(): boolean;
  /** Returns the last token of {@link takeRepeat}, because the attempt is not made. */
  giveBackRepeat(): void;
}

/** Whether a call may run as far as the quota is concerned. */
export type Admission =
  | { readonly kind: 'admitted'; readonly ticket: QuotaTicket }
  /** It may be sent again after `retryAfter` milliseconds. */
  | { readonly kind: 'refused'; readonly retryAfter: number };

/** The ticket of a call that no quota limits. */
export const UNLIMITED_TICKET: QuotaTicket = {
  giveBack: () => undefined,
  takeRepeat: () => true,
  giveBackRepeat: () => undefined,
};

/** The admission of a call that no quota limits. */
export const UNLIMITED_ADMISSION: Admission = { kind: 'admitted', ticket: UNLIMITED_TICKET };

/** Where the tokens of tickets come from. Times are in milliseconds. */
export interface TicketSource {
  /** Takes a token that is available now; returns the time, or undefined when there is none. */
  take(): number | undefined;
  /** Returns a token that was taken at a time. */
  giveBack(takenAt: number): void;
}

/** The ticket of a call that an organisation's quota limits. */
export class LimitedTicket implements QuotaTicket {
  #repeatTakenAt: number | undefined;

  /**
   * @param takenAt when the call took its token; undefined when another daemon holds it for the call
   */
  constructor(
    private readonly source: TicketSource,
    private takenAt: number | undefined,
  ) {}

  giveBack(): void {
    const { takenAt } = this;
    if (takenAt === undefined) return;
    this.takenAt = undefined;
    this.source.giveBack(takenAt);
  }

  takeRepeat(): boolean {
    const takenAt = this.source.take();
    if (takenAt === undefined) return false;
    this.#repeatTakenAt = takenAt;
    return true;
  }

  giveBackRepeat(): void {
    const takenAt = this.#repeatTakenAt;
    if (takenAt === undefined) return;
    this.#repeatTakenAt = undefined;
    this.source.giveBack(takenAt);
  }
}
