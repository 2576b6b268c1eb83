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
const ANSWER_TIMEOUT_MS = 5000
// One long poll per stream, one append per stream, and spare connections for retries.
const MAX_CONNECTIONS = 12
const MAX_ANSWER_BYTES = 64 * 1024 * 1024

interface Answer { status: number, body: string }

/** Log client over HTTP with its own connection pool. */
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
      maxResponseSize: MAX_ANSWER_BYTES
    })
    this._register(toDisposable(() => { this._agent.destroy().catch(() => {}) }))
  }

  append (stream: StreamName, values: unknown[]): ResultAsync<number, LogError> {
    const body = JSON.stringify({ records: values })
    return this._send('POST', `/v1/streams/${stream}/records`, body, ANSWER_TIMEOUT_MS).andThen(answer => {
      if (answer.status === 429 || answer.status === 503) {
        return err(unavailable(`the log answered ${answer.status}`, false))
      }
      if (answer.status >= 400 && answer.status < 500) {
        return err<number, LogError>({ kind: 'log_refused', message: `the log answered ${answer.status}`, mayLand: false })
      }
      if (answer.status !== 200 && answer.status !== 201) return err(unavailable(`the log answered ${answer.status}`, true))
      return parse(answer.body, appendResponseSchema, true).map(parsed => parsed.first_offset)
    })
  }

  read (stream: StreamName, fromOffset: number, limit: number, waitMs: number): ResultAsync<LogPage, LogError> {
    const path = `/v1/streams/${stream}/records?from=${fromOffset}&limit=${limit}&wait_ms=${waitMs}`
    return this._send('GET', path, undefined, waitMs + ANSWER_TIMEOUT_MS).andThen(answer => {
      if (answer.status === 410) return parse(answer.body, gapResponseSchema, false).andThen(toGapError)
      if (answer.status !== 200) return err(unavailable(`the log answered ${answer.status}`, false))
      return parse(answer.body, readResponseSchema, false).map(toPage)
    })
  }

  private _send (method: 'GET' | 'POST', path: string, body: string | undefined, timeoutMs: number): ResultAsync<Answer, LogError> {
    const call = async (): Promise<Answer> => {
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
    // A read changes nothing; an append may have taken effect unless the connection failed.
    return ResultAsync.fromPromise(call(), error => unavailable(String(error), method === 'POST' && !isConnectError(error)))
  }
}

function unavailable (message: string, mayLand: boolean): LogError {
  return { kind: 'log_unavailable', message, mayLand }
}

function parse<T extends z.ZodType> (body: string, schema: T, mayLand: boolean): Result<z.output<T>, LogError> {
  try {
    const parsed = schema.safeParse(JSON.parse(body))
    if (parsed.success) return ok(parsed.data)
  } catch {
    // Handled like an answer of the wrong shape.
  }
  return err(unavailable('the log gave an answer of the wrong form', mayLand))
}

function toGapError (gap: z.output<typeof gapResponseSchema>): Result<LogPage, LogError> {
  return err({
    kind: 'out_of_retention',
    message: `records before ${gap.earliest_offset} are out of retention`,
    mayLand: false,
    earliestOffset: gap.earliest_offset,
    nextOffset: gap.next_offset
  })
}

function toPage (answer: z.output<typeof readResponseSchema>): LogPage {
  const entries = answer.records.map(({ offset, time_ms: timeMs, value }) => ({ offset, timeMs, value }))
  return { entries, earliestOffset: answer.earliest_offset, nextOffset: answer.next_offset }
}
