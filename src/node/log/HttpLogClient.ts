import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { Agent, request } from 'undici'
import type { z } from 'zod'
import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogClient } from '../../common/log/ILogClient.js'
import type { LogError } from '../../common/log/LogError.js'
import type { LogPage } from '../../common/log/LogPage.js'
import type { StreamName } from '../../common/log/StreamName.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { appendResponseSchema } from './appendResponseSchema.js'
import { gapResponseSchema } from './gapResponseSchema.js'
import { isConnectError } from './isConnectError.js'
import { readResponseSchema } from './readResponseSchema.js'

const CONNECT_TIMEOUT_MS = 2000
const RESPONSE_TIMEOUT_MS = 5000
// One long poll and one append per stream, plus spare connections for retries.
const MAX_CONNECTIONS = 12
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024

interface LogResponse { status: number, body: string }

/** ILogClient over HTTP with its own connection pool. */
export class HttpLogClient extends Disposable implements ILogClient {
  private readonly _agent: Agent
  private readonly _origin: string

  constructor (@entrySettingsId settings: EntrySettings) {
    super()
    this._origin = `http://${settings.logAddress}`
    this._agent = new Agent({
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      maxResponseSize: MAX_RESPONSE_BYTES
    })
    this._register(toDisposable(() => { this._agent.destroy().catch(() => {}) }))
  }

  append (stream: StreamName, values: unknown[]): ResultAsync<number, LogError> {
    const body = JSON.stringify({ records: values })
    return this._send('POST', `/v1/streams/${stream}/records`, body, RESPONSE_TIMEOUT_MS).andThen(response => {
      if (response.status === 429 || response.status === 503) {
        return err(unavailable(`the log responded with status ${response.status}`, false))
      }
      if (response.status >= 400 && response.status < 500) {
        return err<number, LogError>({ kind: 'log_rejected', message: `the log responded with status ${response.status}`, mayTakeEffect: false })
      }
      if (response.status !== 200 && response.status !== 201) return err(unavailable(`the log responded with status ${response.status}`, true))
      return parseBody(response.body, appendResponseSchema, true).map(parsed => parsed.first_offset)
    })
  }

  read (stream: StreamName, fromOffset: number, limit: number, waitMs: number): ResultAsync<LogPage, LogError> {
    const path = `/v1/streams/${stream}/records?from=${fromOffset}&limit=${limit}&wait_ms=${waitMs}`
    return this._send('GET', path, undefined, waitMs + RESPONSE_TIMEOUT_MS).andThen(response => {
      if (response.status === 410) return parseBody(response.body, gapResponseSchema, false).andThen(toGapError)
      if (response.status !== 200) return err(unavailable(`the log responded with status ${response.status}`, false))
      return parseBody(response.body, readResponseSchema, false).map(toPage)
    })
  }

  private _send (method: 'GET' | 'POST', path: string, body: string | undefined, timeoutMs: number): ResultAsync<LogResponse, LogError> {
    const call = async (): Promise<LogResponse> => {
      const response = await request(this._origin + path, {
        method,
        dispatcher: this._agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs + CONNECT_TIMEOUT_MS),
        ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } })
      })
      return { status: response.statusCode, body: await response.body.text() }
    }
    // A read has no effect. An append may have taken effect unless the connection could not be established.
    return ResultAsync.fromPromise(call(), error => unavailable(String(error), method === 'POST' && !isConnectError(error)))
  }
}

function unavailable (message: string, mayTakeEffect: boolean): LogError {
  return { kind: 'log_unavailable', message, mayTakeEffect }
}

function parseBody<T extends z.ZodType> (body: string, schema: T, mayTakeEffect: boolean): Result<z.output<T>, LogError> {
  try {
    const parsed = schema.safeParse(JSON.parse(body))
    if (parsed.success) return ok(parsed.data)
  } catch {
    // Invalid JSON is handled like a response that does not match the schema.
  }
  return err(unavailable('the response of the log does not match its schema', mayTakeEffect))
}

function toGapError (gap: z.output<typeof gapResponseSchema>): Result<LogPage, LogError> {
  return err({
    kind: 'out_of_retention',
    message: `records before ${gap.earliest_offset} are out of retention`,
    mayTakeEffect: false,
    earliestOffset: gap.earliest_offset,
    nextOffset: gap.next_offset
  })
}

function toPage (response: z.output<typeof readResponseSchema>): LogPage {
  const entries = response.records.map(({ offset, time_ms: timeMs, value }) => ({ offset, timeMs, value }))
  return { entries, earliestOffset: response.earliest_offset, nextOffset: response.next_offset }
}
