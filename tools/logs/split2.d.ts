/** The part of the package's interface that is used here; it comes without type declarations. */
declare module 'split2' {
  import type { Transform } from 'node:stream'

  /** Splits a stream of bytes into lines of text; bytes that are not UTF-8 become replacement characters. */
  export default function split (options: { maxLength: number, skipOverflow: boolean }): Transform
}
