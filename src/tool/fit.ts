/** Straight lines through measured points (least squares). */

/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line `y = base + slope * x`, and how far the points lie from it. */
export interface Fit {
  readonly base: number;
  readonly slope: number;
  /** Root of the mean squared distance, in the unit of `y`. */
  readonly residual: number;
}

/** Fits a line; needs two different `x` at least. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const base = meanY - slope * meanX;
  const squares = points.reduce((sum, { x, y }) => sum + (y - base - slope * x) ** 2, 0);
  return { base, slope, residual: Math.sqrt(squares / count) };
}
