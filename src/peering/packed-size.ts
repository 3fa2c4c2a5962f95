/**
 * Checks a MessagePack value before it is decoded. The decoder reserves room for as many elements as
 * a list says that it has, so that five bytes make it reserve hundreds of megabytes.
 */

/** Lists within lists, at most; those of datagrams are at most four deep. */
const MAX_DEPTH = 8;

/** Types below are whole numbers, those from the second value on negative ones. */
const FIRST_MAP = 0x80;
const FIRST_LIST = 0x90;
const FIRST_TEXT = 0xa0;
const FIRST_TYPE = 0xc0;
const FIRST_NEGATIVE = 0xe0;

/** What follows a type from 0xc0 on: this many bytes, or a length that takes this many bytes. */
type Content = readonly [kind: 'fixed' | 'bytes' | 'typed-bytes' | 'list' | 'map', width: number];

/** The contents of the types from 0xc0 to 0xdf, in their order. */
const CONTENTS: readonly Content[] = [
  ...(['fixed', 'fixed', 'fixed', 'fixed'] as const).map((kind) => [kind, 0] as const),
  ...([1, 2, 4] as const).map((width) => ['bytes', width] as const),
  ...([1, 2, 4] as const).map((width) => ['typed-bytes', width] as const),
  ...([4, 8, 1, 2, 4, 8, 1, 2, 4, 8] as const).map((width) => ['fixed', width] as const),
  // Application types state one further byte.
  ...([2, 3, 5, 9, 17] as const).map((width) => ['fixed', width] as const),
  ...([1, 2, 4] as const).map((width) => ['bytes', width] as const),
  ...([2, 4] as const).map((width) => ['list', width] as const),
  ...([2, 4] as const).map((width) => ['map', width] as const),
];

/** One value without its elements: its bytes, and how many values belong to it. */
interface PackedHead {
  readonly size: number;
  readonly elements: number;
}

function readTypedHead(bytes: Buffer, at: number, [kind, width]: Content): PackedHead | undefined {
  if (kind === 'fixed') return { size: 1 + width, elements: 0 };
  if (at + 1 + width > bytes.length) return undefined;
  const length = bytes.readUIntBE(at + 1, width);
  switch (kind) {
    case 'bytes':
      return { size: 1 + width + length, elements: 0 };
    case 'typed-bytes':
      return { size: 2 + width + length, elements: 0 };
    case 'list':
      return { size: 1 + width, elements: length };
    case 'map':
      return { size: 1 + width, elements: 2 * length };
    default:
      return kind satisfies never;
  }
}

function readHead(bytes: Buffer, at: number): PackedHead | undefined {
  const type = bytes[at];
  if (type < FIRST_MAP || type >= FIRST_NEGATIVE) return { size: 1, elements: 0 };
  if (type < FIRST_LIST) return { size: 1, elements: 2 * (type - FIRST_MAP) };
  if (type < FIRST_TEXT) return { size: 1, elements: type - FIRST_LIST };
  if (type < FIRST_TYPE) return { size: 1 + type - FIRST_TEXT, elements: 0 };
  return readTypedHead(bytes, at, CONTENTS[type - FIRST_TYPE]);
}

/** Whether the bytes hold every value that they announce, and no list is too deep. */
export function isPackedWhole(packed: Uint8Array): boolean {
  const bytes = Buffer.from(packed.buffer, packed.byteOffset, packed.byteLength);
  /** How many values are still missing, of each list that has begun. */
  const missing = [1];
  let at = 0;
  while (missing.length > 0) {
    const depth = missing.length - 1;
    if (missing[depth] === 0) {
      missing.pop();
      continue;
    }
    missing[depth] -= 1;
    const head = at < bytes.length ? readHead(bytes, at) : undefined;
    if (head === undefined) return false;
    at += head.size;
    if (at > bytes.length || head.elements > bytes.length - at) return false;
    if (head.elements > 0) missing.push(head.elements);
    if (missing.length > MAX_DEPTH) return false;
  }
  return true;
}
