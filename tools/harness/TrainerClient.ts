import type { z } from 'zod'
import { groupsResponseSchema } from '../../standin/trainer/groupsResponseSchema.js'
import type { EntryProcess } from './EntryProcess.js'
import { fetchJson } from './fetchJson.js'
import { bearerTokens } from './bearerTokens.js'

type GroupsResponse = z.output<typeof groupsResponseSchema>

/** Trainer API of one trainer of lin-shun. Each call goes to the given entry or address. */
export class TrainerClient {
  constructor (private readonly _trainer = 'brim') {}

  /** Submits a step with its groups of prompts. */
  async submitStep (target: EntryProcess | string, step: number, groups: Array<{ group: string, prompt: string, samples: number }>, maxTokens = 64): Promise<void> {
    const requestedGroups = groups.map((group) => ({ ...group, max_tokens: maxTokens }))
    await this._call('POST', target, '/steps', { step, groups: requestedGroups })
  }

  /** Reads completed groups after `cursor`; waits up to `waitMs` for the first. `version` is the trainer's newest weight version. */
  async readGroups (target: EntryProcess | string, cursor: number, version: number, waitMs = 5000, max = 16): Promise<GroupsResponse> {
    return groupsResponseSchema.parse(await this._call('GET', target, `/groups?cursor=${cursor}&version=${version}&max=${max}&wait_ms=${waitMs}`))
  }

  /** Acknowledges the groups up to `cursor`. */
  async acknowledge (target: EntryProcess | string, cursor: number): Promise<void> {
    await this._call('POST', target, '/ack', { cursor })
  }

  /** Announces a new weight version. */
  async announceVersion (target: EntryProcess | string, version: number): Promise<void> {
    await this._call('POST', target, '/weights', { version })
  }

  private async _call (method: string, target: EntryProcess | string, path: string, body?: unknown): Promise<any> {
    const address = typeof target === 'string' ? target : target.listen
    return await fetchJson(method, address, `/v1/trainers/${this._trainer}${path}`, body, bearerTokens['lin-shun'])
  }
}
