import { z } from 'zod'
import { admissionId } from '../../admission/admissionId.js'
import type { IAdmission } from '../../admission/IAdmission.js'
import { hashId } from '../../hash/hashId.js'
import type { IHash } from '../../hash/IHash.js'
import { withTimeout } from '../../generation/withTimeout.js'
import { parseJson } from '../../kernel/parseJson.js'
import type { IUpstreamClient } from '../../upstream/client/IUpstreamClient.js'
import { upstreamClientId } from '../../upstream/client/upstreamClientId.js'
import type { ISampleScorer } from './ISampleScorer.js'
import type { SampleTask } from './SampleTask.js'

const SCORE_TIMEOUT_MS = 30_000
const RETRY_BASE_MS = 250
const RETRY_MAX_MS = 10_000

const rewardSchema = z.object({ reward: z.number() })

/** Requests rewards from the scorer service of the contract. Scoring is idempotent and is retried until aborted. */
export class SampleScorer implements ISampleScorer {
  constructor (
    @admissionId private readonly _admission: IAdmission,
    @upstreamClientId private readonly _client: IUpstreamClient,
    @hashId private readonly _hash: IHash
  ) {}

  async score (task: SampleTask, scorer: string, text: string, signal: AbortSignal): Promise<number | undefined> {
    const body = JSON.stringify({ prompt: task.spec.prompt, text })
    for (let retries = 0; !signal.aborted; retries++) {
      const reward = await this._requestReward(task, scorer, body, signal)
      if (reward !== undefined) return reward
      const backoffMs = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** retries) * (0.5 + Math.random() / 2)
      await withTimeout(new Promise<never>(() => {}), backoffMs, signal)
    }
    return undefined
  }

  private async _requestReward (task: SampleTask, scorer: string, body: string, signal: AbortSignal): Promise<number | undefined> {
    const deadlineAtMs = performance.now() + SCORE_TIMEOUT_MS
    const acquired = await this._admission.acquire({
      organisation: task.organisation,
      service: scorer,
      workClass: `trainer/${task.trainer}`,
      size: 'short',
      units: 1,
      fingerprint: this._hash.hash64(`${task.organisation}/${scorer}/${body}`).toString(16),
      deadlineAtMs,
      signal
    })
    if (acquired.isErr()) return undefined
    const slot = acquired.value
    const startedAtMs = performance.now()
    const response = await this._client.call(slot.upstream.address, {
      requestId: crypto.randomUUID(),
      method: 'POST',
      path: '/score',
      headers: { 'content-type': 'application/json' },
      body: new TextEncoder().encode(body),
      deadlineAtMs
    }, signal)
    if (response.isErr()) {
      slot.release(signal.aborted ? { kind: 'cancelled' } : { kind: 'failed', sent: response.error.sent })
      return undefined
    }
    const { status, body: content } = response.value
    const isServed = status < 500 && status !== 429
    slot.release(isServed ? { kind: 'completed', durationMs: performance.now() - startedAtMs, units: 1 } : { kind: 'failed', sent: true })
    return status === 200 ? rewardSchema.safeParse(parseJson(content)).data?.reward : undefined
  }
}
