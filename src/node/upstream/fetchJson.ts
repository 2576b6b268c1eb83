import { err, ok, type Result } from 'neverthrow'
import type { IUpstreamClient } from '../../common/upstream/IUpstreamClient.js'
import type { UpstreamError } from '../../common/upstream/UpstreamError.js'
import type { PollError } from './PollError.js'

const JSON_HEADERS = { accept: 'application/json' }

/** Reads a JSON document; any status but 200 is an error. */
export async function fetchJson (
  client: IUpstreamClient,
  address: string,
  path: string,
  timeoutMs: number,
  signal: AbortSignal
): Promise<Result<unknown, PollError>> {
  const request = {
    requestId: crypto.randomUUID(),
    method: 'GET',
    path,
    headers: JSON_HEADERS,
    deadlineAtMs: performance.now() + timeoutMs
  }
  const answer = await client.call(address, request, signal)
  return answer.mapErr(toPollError).andThen(({ status, body }) => {
    if (status !== 200) {
      return err({ message: `status ${status}`, isRefused: false })
    }
    try {
      return ok(JSON.parse(new TextDecoder().decode(body)) as unknown)
    } catch {
      return err({ message: 'body is not JSON', isRefused: false })
    }
  })
}

function toPollError (error: UpstreamError): PollError {
  return { message: `${error.kind}: ${error.message}`, isRefused: error.kind === 'connect_failed' }
}
