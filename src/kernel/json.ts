/** Types for parsed JSON of unknown shape. */

/** An object with fields of unknown types. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Whether a value is a JSON object, and not a list. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
