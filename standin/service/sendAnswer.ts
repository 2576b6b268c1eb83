import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context } from 'hono'
import type { z } from 'zod'
import { destroyConnection } from '../common/destroyConnection.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { takeOne } from '../common/takeOne.js'
import type { ServiceAnswer } from './ServiceAnswer.js'
import type { serviceFaultsSchema } from './serviceFaultsSchema.js'

/** Sends an answer, whole or damaged as the faults say. */
export function sendAnswer (c: Context<StandInEnv>, answer: ServiceAnswer, faults: z.output<typeof serviceFaultsSchema>): Response {
  const { body } = answer
  const half = body.slice(0, body.length / 2)
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  if (answer.requestId !== '') headers['x-request-id'] = answer.requestId
  if (takeOne(faults, 'reset_before_answer')) return destroyConnection(c)
  if (takeOne(faults, 'truncate')) {
    const { outgoing } = c.env
    outgoing.writeHead(answer.status, { ...headers, 'content-length': String(Buffer.byteLength(body)) })
    outgoing.write(half, () => outgoing.socket?.end())
    return RESPONSE_ALREADY_SENT
  }
  if (takeOne(faults, 'close_delimited')) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
    c.env.incoming.socket.end(`HTTP/1.1 ${answer.status} OK\r\n${lines.join('')}connection: close\r\n\r\n${half}`)
    return RESPONSE_ALREADY_SENT
  }
  return c.body(body, answer.status as 200, headers)
}
