import { err, ok, type Result } from 'neverthrow'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { JsonResponse } from './JsonResponse.js'
import type { PollError } from './PollError.js'

const JSON_HEADERS = { accept: 'application/json' }
const NOT_MODIFIED = 304

/**
 * Fetches a JSON document. With `etag`, the entity tag of an earlier response, the server may respond with 304 (not
 * modified). Any other status than 200 is an error.
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
  const response = await client.call(address, request, signal)
  return response.mapErr(toPollError).andThen(({ status, headers, body }) => {
    if (status === NOT_MODIFIED && etag !== undefined) {
      return ok({ document: undefined, etag, isUnchanged: true })
    }
    if (status !== 200) {
      return err({ message: `status ${status}`, isConnectFailure: false })
    }
    try {
      return ok({ document: JSON.parse(new TextDecoder().decode(body)) as unknown, etag: headers['etag'], isUnchanged: false })
    } catch {
      return err({ message: 'body is not JSON', isConnectFailure: false })
    }
  })
}

function toPollError (error: UpstreamError): PollError {
  return { message: `${error.kind}: ${error.message}`, isConnectFailure: error.kind === 'connect_failed' }
}
