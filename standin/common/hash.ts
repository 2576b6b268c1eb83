import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/** xxHash: `number` is 32 bits, `text` is 64 bits as 16 hex digits. */
export const hash = {
  number: (input: string): number => h32(input),
  text: (input: string): string => h64ToString(input)
}
