import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/** xxHash of a string: `toUint32` is the 32-bit hash, `toHex` the 64-bit hash as 16 hex digits. */
export const hash = {
  toUint32: (input: string): number => h32(input),
  toHex: (input: string): string => h64ToString(input)
}
