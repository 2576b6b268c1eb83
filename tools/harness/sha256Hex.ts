import { createHash } from 'node:crypto'

/** SHA-256 of a text in hexadecimal, as contracts and settings store tokens. */
export function sha256Hex (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
