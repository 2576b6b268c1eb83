import { createHmac } from 'node:crypto'

/** Creates the authentication header of a call between entries: the time, and the HMAC of method and time under the shared key. */
export function createPeerToken (key: string, method: string, timeMs: number): string {
  const mac = createHmac('sha256', key).update(`hyssopvalve rpc ${method} ${timeMs}`).digest('hex')
  return `HMAC ${timeMs}.${mac}`
}
