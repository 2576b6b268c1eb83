/** A third of the slowest link in use, 31.5 Mbit/s: what one of several senders on it has. */
const SHARED_BYTES_PER_MS = 1312.5
/** Time-outs cover the sending of smaller bodies themselves. */
const MIN_BYTES = 500_000

/** Time that a large body may take on a slow link, in milliseconds, which says nothing about its receiver; 0 for others. */
export function sendAllowanceMs (bytes: number): number {
  return bytes < MIN_BYTES ? 0 : bytes / SHARED_BYTES_PER_MS
}
