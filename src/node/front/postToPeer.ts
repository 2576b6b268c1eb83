import type { Result } from 'neverthrow'
import { sendAllowanceMs } from '../../common/link/sendAllowanceMs.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { UpstreamResponse } from '../../common/upstream/client/UpstreamResponse.js'

/** Time-out of a message, in addition to the time to send it. */
const SEND_TIMEOUT_MS = 800

/** Sends a message of this entry, not a request of a caller, to the peer listener of another entry once. */
export async function postToPeer (client: IUpstreamClient, address: string, path: string, message: Uint8Array): Promise<Result<UpstreamResponse, UpstreamError>> {
  const request = { requestId: path.slice(1), method: 'POST', path, headers: {}, body: message, deadlineAtMs: performance.now() + SEND_TIMEOUT_MS + sendAllowanceMs(message.length) }
  return await client.call(address, request, new AbortController().signal)
}
