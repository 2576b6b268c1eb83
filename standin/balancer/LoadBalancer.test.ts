import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { listenTcp } from '../common/listenTcp.js'
import { parseAddress } from '../common/parseAddress.js'
import { LoadBalancer } from './LoadBalancer.js'

const HOUR_MS = 3_600_000
const closers: Array<() => void> = []

async function startTarget (name: string): Promise<string> {
  const server = createServer(socket => socket.end(name))
  closers.push(() => server.close())
  return await listenTcp(server, '127.0.0.1:0')
}

async function startBalancer (targets: string[], lagMs: number) {
  const balancer = new LoadBalancer(targets, lagMs)
  closers.push(() => balancer.dispose())
  const front = await balancer.listen('127.0.0.1:0')
  const putTargets = async (next: string[]) => await balancer.app.request('/targets', { method: 'PUT', body: JSON.stringify({ targets: next }) })
  const requestTargetName = async () => {
    const socket = connect(parseAddress(front))
    const [data] = await once(socket, 'data')
    socket.destroy()
    return String(data)
  }
  return { putTargets, requestTargetName }
}

describe('balancer', () => {
  after(() => { for (const close of closers) close() })

  it('selects its targets by round robin', async () => {
    const { requestTargetName } = await startBalancer([await startTarget('a'), await startTarget('b')], 0)
    expect([await requestTargetName(), await requestTargetName(), await requestTargetName()]).toEqual(['a', 'b', 'a'])
  })

  it('still uses removed targets until the lag has passed', async () => {
    const [a, b] = [await startTarget('a'), await startTarget('b')]
    const delayed = await startBalancer([a], HOUR_MS)
    const immediate = await startBalancer([a], 0)
    await delayed.putTargets([b])
    await immediate.putTargets([b])
    expect([await delayed.requestTargetName(), await immediate.requestTargetName()]).toEqual(['a', 'b'])
  })

  it('resets connections when its target cannot be reached', async () => {
    const { requestTargetName } = await startBalancer(['127.0.0.1:1'], 0)
    await expect(requestTargetName()).toBeRejectedWith('ECONNRESET')
  })
})
