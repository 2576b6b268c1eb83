import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { startServer } from '../common/startServer.js'
import { WeightServer } from './WeightServer.js'

const WEIGHTS_PATH = '/v1/weights/lin-shun/brim/1'
const closers: Array<() => void> = []

async function startWeights (loadRate: number) {
  const weights = new WeightServer(loadRate, 0)
  const { server, address } = await startServer(weights.app, '127.0.0.1:0')
  closers.push(() => server.close())
  return {
    publish: async () => await fetch(`http://${address}${WEIGHTS_PATH}`, { method: 'PUT' }),
    load: async () => await fetch(`http://${address}${WEIGHTS_PATH}`),
    faults: async (faults: object) => await fetch(`http://${address}/faults`, { method: 'POST', body: JSON.stringify(faults) })
  }
}

describe('weight store', () => {
  after(() => { for (const close of closers) close() })

  it('serves a version only after it has been published', async () => {
    const { publish, load } = await startWeights(0)
    expect((await load()).status).toEqual(404)
    await publish()
    expect((await (await load()).json() as any).version).toEqual(1)
  })

  it('limits the rate of loads', async () => {
    const { publish, load } = await startWeights(0.001)
    await publish()
    expect([(await load()).status, (await load()).status]).toEqual([200, 429])
  })

  it('aborts a load halfway through the response', async () => {
    const { publish, load, faults } = await startWeights(0)
    await publish()
    await faults({ fail_loads: 1 })
    const response = await load()
    expect(response.status).toEqual(200)
    await expect(response.text()).toBeRejected()
    expect((await (await load()).json() as any).version).toEqual(1)
  })
})
