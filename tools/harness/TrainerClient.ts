import type { z } from 'zod'
import { groupAnswerSchema } from '../../standin/trainer/groupAnswerSchema.js'
import type { EntryProcess } from './EntryProcess.js'
import { fetchJson } from './fetchJson.js'
import { bearerTokens } from './bearerTokens.js'

type Answer = z.output<typeof groupAnswerSchema>

/** Single calls of a trainer of lin-shun, each through the entry or address that the test chooses. */
export class TrainerClient {
  constructor (private readonly _trainer = 'brim') {}

  async submitStep (via: EntryProcess | string, step: number, groups: Array<{ group: string, prompt: string, samples: number }>, maxTokens = 64): Promise<void> {
    const specs = groups.map((group) => ({ ...group, max_tokens: maxTokens }))
    await this._call('POST', via, '/steps', { step, groups: specs })
  }

  async readGroups (via: EntryProcess | string, cursor: number, version: number, waitMs = 5000, max = 16): Promise<Answer> {
    return groupAnswerSchema.parse(await this._call('GET', via, `/groups?cursor=${cursor}&version=${version}&max=${max}&wait_ms=${waitMs}`))
  }

  async acknowledge (via: EntryProcess | string, cursor: number): Promise<void> {
    await this._call('POST', via, '/ack', { cursor })
  }

  async announceVersion (via: EntryProcess | string, version: number): Promise<void> {
    await this._call('POST', via, '/weights', { version })
  }

  private async _call (method: string, via: EntryProcess | string, path: string, body?: unknown): Promise<any> {
    const address = typeof via === 'string' ? via : via.listen
    return await fetchJson(method, address, `/v1/trainers/${this._trainer}${path}`, body, bearerTokens['lin-shun'])
  }
}
