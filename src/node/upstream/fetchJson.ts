import { err, ok, type Result } from 'neverthrow'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { JsonResponse } from './JsonResponse.js'
import type { PollError } from './PollError.js'

const JSON_HEADERS = { accept: 'application/json' }
const NOT_MODIFIED = 304

/**
 * Reads a JSON document. With an entity tag of an earlier answer the server may answer that nothing has
 * changed; any other status but 200 is an error.
 */
export async function fetchJson (
  client: IUpstreamClient,
  address: string,
  path: string,
  timeoutMs: number,
  signal: AbortSignal,
  etag?: string
): Promise<Result<JsonResponse, PollError>> {
  const request = {
    requestId: crypto.randomUUID(),
    method: 'GET',
    path,
    headers: etag === undefined ? JSON_HEADERS : { ...JSON_HEADERS, 'if-none-match': etag },
    deadlineAtMs: performance.now() + timeoutMs
  }
  const answer = await client.call(address, request, signal)
  return answer.mapErr(toPollError).andThen(({ status, headers, body }) => {
    if (status === NOT_MODIFIED && etag !== undefined) {
      return ok({ document: undefined, etag, isUnchanged: true })
    }
    if (status !== 200) {
      return err({ message: `status ${status}`, isRefused: false })
    }
    try {
      return ok({ document: JSON.parse(new TextDecoder().decode(body)) as unknown, etag: headers['etag'], isUnchanged: false })
    } catch {
      return err({ message: 'body is not JSON', isRefused: false })
    }
  })
}

function toPollError (error: UpstreamError): PollError {
  return { message: `${error.kind}: ${error.message}`, isConnectFailure: error.kind === 'connect_failed' }
}
