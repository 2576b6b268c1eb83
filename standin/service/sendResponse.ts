import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context } from 'hono'
import type { z } from 'zod'
import { resetConnection } from '../common/resetConnection.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { consumeFault } from '../common/consumeFault.js'
import type { ServiceResponse } from './ServiceResponse.js'
import type { serviceFaultsSchema } from './serviceFaultsSchema.js'

const INVALID_STATUSES = ['000', '600'] as const

/** Sends a response, either intact or altered by the active faults. */
export function sendResponse (c: Context<StandInEnv>, response: ServiceResponse, faults: z.output<typeof serviceFaultsSchema>): Response {
  const { body } = response
  const half = body.slice(0, body.length / 2)
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  if (response.requestId !== '') headers['x-request-id'] = response.requestId
  if (consumeFault(faults, 'reset_before_answer')) return resetConnection(c)
  if (consumeFault(faults, 'truncate')) {
    const { outgoing } = c.env
    outgoing.writeHead(response.status, { ...headers, 'content-length': String(Buffer.byteLength(body)) })
    outgoing.write(half, () => outgoing.socket?.end())
    return RESPONSE_ALREADY_SENT
  }
  const invalidStatus = INVALID_STATUSES.find(status => consumeFault(faults, `status_${status}`))
  if (invalidStatus !== undefined) {
    c.env.incoming.socket.write(formatHead(invalidStatus, { ...headers, 'content-length': String(Buffer.byteLength(body)) }) + body)
    return RESPONSE_ALREADY_SENT
  }
  if (consumeFault(faults, 'close_delimited')) {
    c.env.incoming.socket.end(formatHead(String(response.status), { ...headers, connection: 'close' }) + half)
    return RESPONSE_ALREADY_SENT
  }
  return c.body(body, response.status as 200, headers)
}

function formatHead (status: string, headers: Record<string, string>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  return `HTTP/1.1 ${status} OK\r\n${lines.join('')}\r\n`
}
