/** Splits bytes at positions, each taken modulo the number of places to cut. */
export function splitBytes (bytes: Uint8Array, cuts: readonly number[]): Uint8Array[] {
  const ends = [...cuts.map(cut => cut % (bytes.length + 1)), bytes.length].sort((a, b) => a - b)
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end))
}
