import { pieceKey } from './pieceKey.js'

/** Joins the pieces of a record; undefined if the first one is missing. */
export function joinRecord (key: string, values: ReadonlyMap<string, Uint8Array>): Uint8Array | undefined {
  const first = values.get(key)
  if (first === undefined) return undefined
  const pieces = [first]
  for (let piece = values.get(pieceKey(key, 1)); piece !== undefined; piece = values.get(pieceKey(key, pieces.length))) pieces.push(piece)
  return pieces.length === 1 ? first : concat(pieces)
}

function concat (pieces: readonly Uint8Array[]): Uint8Array {
  const joined = new Uint8Array(pieces.reduce((sum, piece) => sum + piece.length, 0))
  let offset = 0
  for (const piece of pieces) {
    joined.set(piece, offset)
    offset += piece.length
  }
  return joined
}
