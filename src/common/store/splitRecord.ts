import { pieceKey } from './pieceKey.js'

/** Below the store's limit for one record, to leave space for the key. */
const MAX_PIECE_BYTES = 200_000

/** Splits a record into pieces that the store accepts. The first piece has the key of the record. */
export function splitRecord (key: string, value: Uint8Array): Array<{ key: string, value: Uint8Array }> {
  const pieces = [{ key, value: value.subarray(0, MAX_PIECE_BYTES) }]
  for (let start = MAX_PIECE_BYTES; start < value.length; start += MAX_PIECE_BYTES) {
    pieces.push({ key: pieceKey(key, pieces.length), value: value.subarray(start, start + MAX_PIECE_BYTES) })
  }
  return pieces
}
