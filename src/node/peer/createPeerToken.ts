import { createHmac } from 'node:crypto'

/** Authentication header of calls between entries: time, then the HMAC of time and method with the shared key. */
export function createPeerToken (key: string, method: string, timeMs: number): string {
  const mac = createHmac('sha256', key).update(`hyssopvalve rpc ${method} ${timeMs}`).digest('hex')
  return `HMAC ${timeMs}.${mac}`
}
