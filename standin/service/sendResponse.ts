import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context } from 'hono'
import type { z } from 'zod'
import { resetConnection } from '../common/resetConnection.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { consumeFault } from '../common/consumeFault.js'
import type { ServiceResponse } from './ServiceResponse.js'
import type { serviceFaultsSchema } from './serviceFaultsSchema.js'

/** Sends an answer, whole or damaged as the faults say. */
export function sendResponse (c: Context<StandInEnv>, answer: ServiceResponse, faults: z.output<typeof serviceFaultsSchema>): Response {
  const { body } = answer
  const half = body.slice(0, body.length / 2)
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  if (answer.requestId !== '') headers['x-request-id'] = answer.requestId
  if (consumeFault(faults, 'reset_before_answer')) return resetConnection(c)
  if (consumeFault(faults, 'truncate')) {
    const { outgoing } = c.env
    outgoing.writeHead(answer.status, { ...headers, 'content-length': String(Buffer.byteLength(body)) })
    outgoing.write(half, () => outgoing.socket?.end())
    return RESPONSE_ALREADY_SENT
  }
  if (consumeFault(faults, 'close_delimited')) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
    c.env.incoming.socket.end(`HTTP/1.1 ${answer.status} OK\r\n${lines.join('')}connection: close\r\n\r\n${half}`)
    return RESPONSE_ALREADY_SENT
  }
  return c.body(body, answer.status as 200, headers)
}
