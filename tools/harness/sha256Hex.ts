import { createHash } from 'node:crypto'

/** SHA-256 of a token in hex. */
export function sha256Hex (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
