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
  const put = async (next: string[]) => await balancer.app.request('/targets', { method: 'PUT', body: JSON.stringify({ targets: next }) })
  const ask = async () => {
    const socket = connect(parseAddress(front))
    const [data] = await once(socket, 'data')
    socket.destroy()
    return String(data)
  }
  return { put, ask }
}

describe('balancer', () => {
  after(() => { for (const close of closers) close() })

  it('takes its targets in turn', async () => {
    const { ask } = await startBalancer([await startTarget('a'), await startTarget('b')], 0)
    expect([await ask(), await ask(), await ask()]).toEqual(['a', 'b', 'a'])
  })

  it('keeps sending to removed targets until the lag has passed', async () => {
    const [a, b] = [await startTarget('a'), await startTarget('b')]
    const late = await startBalancer([a], HOUR_MS)
    const prompt = await startBalancer([a], 0)
    await late.put([b])
    await prompt.put([b])
    expect([await late.ask(), await prompt.ask()]).toEqual(['a', 'b'])
  })

  it('resets connections when its target is dead', async () => {
    const { ask } = await startBalancer(['127.0.0.1:1'], 0)
    await expect(ask()).toBeRejectedWith('ECONNRESET')
  })
})
