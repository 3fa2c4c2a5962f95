/** Resolves after a time of the machine's own clock; for launchers, tools and tests. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
