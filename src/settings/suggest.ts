/** Suggestions for misspelt names. */

const MAX_EDIT_DISTANCE = 3;

function computeEditDistance(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const cost = a[i - 1] === b[j - 1] ? 0 : 1;
      next.push(Math.min((row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1, (row[j - 1] ?? 0) + cost));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}

/** Returns what was expected in place of `name`: the closest known name, or all of them. */
export function suggestName(name: string, known: readonly string[]): string {
  const [best] = known
    .map((candidate) => ({ candidate, distance: computeEditDistance(name, candidate) }))
    .sort((a, b) => a.distance - b.distance);
  if (best !== undefined && best.distance <= MAX_EDIT_DISTANCE) return `"${best.candidate}"`;
  return `one of ${known.join(', ')}`;
}
