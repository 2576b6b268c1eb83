import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow'
import type { AdmissionError } from '../../admission/AdmissionError.js'
import type { AdmissionRequest } from '../../admission/AdmissionRequest.js'
import type { IAdmission } from '../../admission/IAdmission.js'
import type { SlotResult } from '../../admission/SlotResult.js'
import type { ClaimError } from '../../claim/ClaimError.js'
import type { ClaimOutcome } from '../../claim/ClaimOutcome.js'
import type { ISuspectTable } from '../../crash/ISuspectTable.js'
import type { StoredResponse } from '../../schema/StoredResponse.js'
import type { IUpstreamClient } from '../../upstream/client/IUpstreamClient.js'
import type { EntrySettings } from '../../settings/EntrySettings.js'
import type { Upstream } from '../../upstream/Upstream.js'
import type { UpstreamResponse } from '../../upstream/client/UpstreamResponse.js'
import type { UpstreamError } from '../../upstream/client/UpstreamError.js'
import type { UpstreamRequest } from '../../upstream/client/UpstreamRequest.js'
import type { CallRequest } from '../CallRequest.js'
import { Forwarder } from '../Forwarder.js'

const silent = { info () {}, warn () {}, error () {}, debug () {}, count () {}, gauge () {}, duration () {} }
const digest = {
  sha256Hex: (...parts: Array<string | Uint8Array>) => parts.map(String).join(' '),
  sha256: () => new Uint8Array(),
  isEqual: () => false
}

interface SentRequest {
  address: string
  request: UpstreamRequest
  signal: AbortSignal
  respond (body: string, status?: number): void
  fail (error: UpstreamError): void
}

/** For tests: a forwarder with two upstreams, `a` and `b`, whose responses the test supplies. Requires mocked timers. */
export class ForwarderHarness {
  sent: SentRequest[] = []
  admitted: AdmissionRequest[] = []
  released: SlotResult[] = []
  settlements: string[] = []
  isSuspected = false
  mayStart = true
  admissionError?: AdmissionError
  claimResult: Result<ClaimOutcome, ClaimError>
  readonly forwarder: Forwarder

  /** `_tick` advances the mocked timers; `hedging` is the setting of the service. */
  constructor (private readonly _tick: (ms: number) => void, hedging = true) {
    this.claimResult = ok({
      kind: 'won',
      ticket: {
        claimId: 'c',
        mayStart: () => this.mayStart,
        complete: (response: StoredResponse) => { this.settlements.push(`complete ${response.body_omitted} ${response.body_base64}`) },
        release: () => { this.settlements.push('release') },
        abandon: () => { this.settlements.push('abandon') }
      }
    })
    const claims = { claim: () => this.claimResult.isOk() ? okAsync(this.claimResult.value) : errAsync(this.claimResult.error) }
    const suspects = { isSuspect: () => this.isSuspected, recordCompletion () {} } as unknown as ISuspectTable
    const settings = { services: [{ name: 's', hedging }] } as EntrySettings
    this.forwarder = new Forwarder(this._admission(), this._client(), claims, suspects, digest, silent, silent, settings)
  }

  /** Forwards a call and returns a function that reads its outcome. */
  async start (patch: Partial<CallRequest> = {}, repeat: 'allowed' | 'never' = 'allowed'): Promise<() => Promise<string>> {
    const result = this.forwarder.forward({
      requestId: 'r',
      organisation: 'c',
      revision: 1,
      workClassName: 'w',
      workClass: { service: 's', kind: 'call', methods: [], path: '/', deadline_ms: 1000, repeat, size: 'short', max_tokens: 1 },
      method: 'POST',
      path: '/x',
      headers: {},
      body: new Uint8Array([1]),
      idempotencyKey: repeat === 'never' ? 'k' : undefined,
      deadlineAtMs: performance.now() + 10_000,
      signal: new AbortController().signal,
      ...patch
    })
    await this.flush()
    return async () => await result.match(
      (response) => new TextDecoder().decode(response.body),
      (error) => `${error.kind} ${error.outcome} ${error.status}`)
  }

  /** Runs pending microtasks. */
  async flush (): Promise<void> {
    for (let turn = 0; turn < 30; turn++) await Promise.resolve()
  }

  /** Completes calls of 10 ms each to fill the latency window. They are marked as suspects so that none is hedged. */
  async warmUp (count: number): Promise<void> {
    this.isSuspected = true
    for (let index = 0; index < count; index++) {
      const outcome = await this.start()
      this._tick(10)
      this.sent.at(-1)!.respond('warm')
      await outcome()
    }
    this.isSuspected = false
    this.sent = []
    this.released = []
  }

  private _admission (): IAdmission {
    return {
      queued: () => 0,
      acquire: (request) => {
        this.admitted.push(request)
        if (this.admissionError !== undefined) return errAsync(this.admissionError)
        const id = ['a', 'b'].find((item) => !request.excluded?.has(item))
        if (id === undefined) return errAsync({ kind: 'no_upstream', message: '' })
        const release = (result: SlotResult): void => { this.released.push(result) }
        return okAsync({ upstream: { id, address: id } as Upstream, queuedMs: 0, release })
      }
    }
  }

  private _client (): IUpstreamClient {
    const call: IUpstreamClient['call'] = (address, request, signal) => {
      return new ResultAsync(new Promise<Result<UpstreamResponse, UpstreamError>>((resolve) => {
        if (signal.aborted) {
          resolve(err({ kind: 'cancelled', message: '', sent: false }))
          return
        }
        signal.addEventListener('abort', () => resolve(err({ kind: 'cancelled', message: '', sent: true })))
        this.sent.push({
          address,
          request,
          signal,
          respond: (body, status = 200) => resolve(ok({ status, headers: {}, body: new TextEncoder().encode(body) })),
          fail: (error) => resolve(err(error))
        })
      }))
    }
    return { call } as IUpstreamClient
  }
}
