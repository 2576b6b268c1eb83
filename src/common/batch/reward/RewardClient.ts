import type { CallOutcome } from '../../call/CallOutcome.js'
import type { CallService } from '../../call/CallService.js'
import { chooseService } from '../../routing/chooseService.js'
import type { IRouteTable } from '../../routing/IRouteTable.js'
import type { RewardCall } from '../record/RewardCall.js'
import type { IRewardClient } from './IRewardClient.js'
import type { RewardOutcome } from './RewardOutcome.js'
import type { RewardTarget } from './RewardTarget.js'

/** Sends reward calls through the call service, as it sends the calls of callers. */
export class RewardClient implements IRewardClient {
  /** `scoreHeader`, in lowercase, is the response header that contains the score. */
  constructor (private readonly _routes: IRouteTable, private readonly _calls: CallService, private readonly _scoreHeader: string) {}

  resolve ({ host, path }: RewardCall): RewardTarget | undefined {
    const route = this._routes.find(host, path.split('?')[0] ?? path)
    const service = route === undefined ? undefined : chooseService(route, Math.random())
    return route === undefined || service === undefined ? undefined : { route, service }
  }

  async send (call: RewardCall, { route, service }: RewardTarget, deadlineAtMs: number, signal: AbortSignal): Promise<RewardOutcome> {
    const timeout = new AbortController()
    const timer = setTimeout(() => timeout.abort(), route.timeoutMs)
    const outcome = await this._calls.run({
      requestId: call.id,
      // Reward calls may be repeated on any route.
      route: { ...route, kind: 'idempotent' },
      service,
      method: 'POST',
      path: call.path,
      headers: { host: call.host },
      body: Buffer.from(call.bodyBase64, 'base64'),
      deadlineAtMs,
      signal: AbortSignal.any([signal, timeout.signal])
    })
    clearTimeout(timer)
    if (outcome.kind === 'answer') return this._toScore(outcome)
    if (outcome.kind === 'not_run') return outcome
    if (outcome.kind === 'cancelled') return signal.aborted ? outcome : { kind: 'no_response', reason: 'timeout of the route' }
    return { kind: 'no_response', reason: outcome.reason }
  }

  private _toScore ({ answer, failedResponses }: CallOutcome & { kind: 'answer' }): RewardOutcome {
    const score = answer.headers[this._scoreHeader]
    if (answer.status >= 200 && answer.status < 300 && score !== undefined) return { kind: 'scored', score }
    return failedResponses > 0 ? { kind: 'failed', failures: failedResponses } : { kind: 'no_response', reason: `status ${answer.status}` }
  }
}
