/** Values that came as JSON and may be anything. */

/** An object whose fields may be anything. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Whether a value is an object with fields, and no list. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
