import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { Emitter } from '../../src/common/kernel/Emitter.js'
import { createApp } from '../common/createApp.js'
import { startServer } from '../common/startServer.js'
import { RolloutClient } from './RolloutClient.js'
import { TrainerLoop } from './TrainerLoop.js'
import type { TrainerOptions } from './TrainerOptions.js'
import { WeightPublisher } from './WeightPublisher.js'

// Aborts a run that would otherwise hang.
const TIMEOUT_MS = 60_000

const closers: Array<() => void> = []
const OPTIONS: TrainerOptions = {
  organisation: 'lin-shun',
  trainer: 'brim',
  token: 'secret',
  addresses: [],
  weights: '',
  weightsEveryMs: 0,
  steps: 1,
  firstStep: 5,
  ahead: 0,
  groups: 2,
  samples: 1,
  maxTokens: 8,
  prompt: 'step {step} group {group}',
  trainMs: 0,
  waitMs: 100,
  maxGroupsPerRead: 16,
  firstCursor: -1,
  version: 3
}

function groupAt (position: number) {
  const sample = { index: 0, attempt: 0, text: 't', token_ids: [3001], origin: [{ from: 0, to: 1, version: 3, kv_version: 3 }] }
  return { step: 5, group: `s5-g${position}`, position, samples: [sample] }
}

/** Rollout service with the groups 0 and 1; with `isTruncating`, it responds to reads with half of the body. */
async function startRollout (isTruncating: boolean) {
  const app = createApp()
  const requests: string[] = []
  app.get('/v1/trainers/brim/groups', c => {
    requests.push(c.req.url.split('?')[1]!)
    const cursor = Number(c.req.query('cursor'))
    const body = JSON.stringify({ groups: [groupAt(cursor + 1)], cursor: cursor + 1 })
    return c.body(isTruncating ? body.slice(0, body.length / 2) : body)
  })
  app.post('/v1/trainers/brim/:call', async c => {
    requests.push(`${c.req.param('call')} ${c.req.header('authorization')} ${await c.req.text()}`)
    return c.json({})
  })
  const { server, address } = await startServer(app, '127.0.0.1:0')
  closers.push(() => {
    server.close()
    if ('closeAllConnections' in server) server.closeAllConnections()
  })
  return { address, requests }
}

describe('trainer', { timeout: TIMEOUT_MS }, () => {
  after(() => { for (const close of closers) close() })

  it('repeats a read with the same cursor through another address when the response is truncated', async () => {
    const [truncating, intact] = [await startRollout(true), await startRollout(false)]
    const options = { ...OPTIONS, addresses: [truncating.address, intact.address] }
    const client = new RolloutClient(options)
    const weights = new WeightPublisher(options, client, () => false)
    const loop = new TrainerLoop(options, client, weights, async () => {}, () => false)
    await loop.run()
    const query = (cursor: number) => `cursor=${cursor}&version=3&max=16&wait_ms=100`
    expect(truncating.requests.slice(1)).toEqual([query(-1)])
    expect(intact.requests).toEqual([query(-1), query(0), 'ack Bearer secret {"cursor":1}'])
    expect(truncating.requests[0]!.startsWith('steps Bearer secret {"step":5,"groups":[{"group":"s5-g0","prompt":"step 5 group 0"')).toEqual(true)
    expect(loop.receivedGroups.map(group => [group.group, group.cursor_after, group.version_known])).toEqual([['s5-g0', 0, 3], ['s5-g1', 1, 3]])
    expect(loop.stepsDone).toEqual(1)
  })

  it('aborts a pending read when it publishes a version, and reads with that version', async () => {
    const published = new Emitter<number>()
    const weights = { version: 3, onPublish: published.event }
    const app = createApp()
    const versions: string[] = []
    app.post('/v1/trainers/brim/:call', c => c.json({}))
    app.get('/v1/trainers/brim/groups', async c => {
      versions.push(c.req.query('version')!)
      const response = c.json({ groups: [groupAt(0), groupAt(1)], cursor: 1 })
      if (versions.length > 1) return response
      weights.version = 4
      published.fire(4)
      return response
    })
    const { server, address } = await startServer(app, '127.0.0.1:0')
    closers.push(() => server.close())
    const options = { ...OPTIONS, addresses: [address] }
    const loop = new TrainerLoop(options, new RolloutClient(options), weights as WeightPublisher, async () => {}, () => false)
    await loop.run()
    expect(versions).toEqual(['3', '4'])
    expect(loop.receivedGroups.map(group => group.version_known)).toEqual([4, 4])
  })
})
