/** What is read and kept of the answers of other machines. Sizes are in bytes, times in milliseconds. */

/** What one answer may consist of besides its body. */
export interface AnswerLimits {
  /** What may arrive before the head of the final answer: interim answers, empty lines. */
  readonly leadBytes: number;
  /** Interim answers (status 1xx). */
  readonly interimAnswers: number;
  /** Lines before the body, of all heads together, and lines of trailers, where they are counted. */
  readonly fieldLines: number;
  /** The framing of the body: sizes, extensions and ends of chunks, trailers. */
  readonly framingBytes: number;
  /** What the framing may take for each byte of the body, besides. */
  readonly framingPerBodyByte: number;
}

/** The limits of every answer, from whomever it comes. */
export const ANSWER_LIMITS: AnswerLimits = {
  ...{ leadBytes: 65_536, interimAnswers: 100, fieldLines: 2000 },
  ...{ framingBytes: 65_536, framingPerBodyByte: 16 },
};
