import { once } from 'node:events'
import { connect, createServer, type Socket } from 'node:net'
import { after, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { listenTcp } from '../common/listenTcp.js'
import { parseAddress } from '../common/parseAddress.js'
import { routeFaultsSchema } from './routeFaultsSchema.js'
import { TcpProxyRoute } from './TcpProxyRoute.js'

// Aborts a run that would otherwise hang.
const TIMEOUT_MS = 60_000

// Time within which wrongly forwarded data would arrive. On a busy host the check may miss such data, but does
// not fail without cause.
const SETTLE_MS = 50
const sockets: Socket[] = []
const closers: Array<() => void> = []

/** Starts a route to a server that responds with `echo:` and the received data. */
async function startRoute () {
  const received: string[] = []
  const server = createServer({ allowHalfOpen: true }, socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', data => {
      received.push(data.toString())
      socket.write(`echo:${data.toString()}`)
    })
  })
  const route = new TcpProxyRoute(await listenTcp(server, '127.0.0.1:0'))
  await route.listen('127.0.0.1:0')
  closers.push(() => server.close())
  closers.push(() => route.dispose())
  const open = async (allowHalfOpen = false) => {
    const socket = connect({ ...parseAddress(route.address), allowHalfOpen })
    sockets.push(socket)
    await once(socket, 'connect')
    return socket
  }
  const faults = async (set: object = {}) => await route.setFaults(routeFaultsSchema.parse(set))
  return { received, open, faults }
}

async function sendAndReceive (socket: Socket, text: string): Promise<string> {
  socket.write(text)
  const [data] = await once(socket, 'data')
  return data.toString()
}

async function until (check: () => boolean): Promise<void> {
  while (!check()) await sleep(5)
}

describe('fault proxy route', { timeout: TIMEOUT_MS }, () => {
  after(() => {
    for (const socket of sockets) socket.destroy()
    for (const close of closers) close()
  })

  it('forwards data in both directions', async () => {
    const { open } = await startRoute()
    expect(await sendAndReceive(await open(), 'a')).toEqual('echo:a')
  })

  it('forwards all data under delay and throttling', async () => {
    const { open, faults } = await startRoute()
    await faults({ delay_ms: 5, throttle_bytes_per_s: 1000 })
    expect(await sendAndReceive(await open(), 'a')).toEqual('echo:a')
  })

  it('holds data while frozen and forwards it afterwards', async () => {
    const { open, faults, received } = await startRoute()
    const socket = await open()
    await sendAndReceive(socket, 'a')
    await faults({ freeze: true })
    const response = sendAndReceive(socket, 'b')
    await sleep(SETTLE_MS)
    expect(received).toEqual(['a'])
    await faults()
    expect(await response).toEqual('echo:b')
  })

  it('forwards a request, discards its response and closes the connection', async () => {
    const { open, faults, received } = await startRoute()
    const socket = await open()
    await faults({ drop_answers: 1 })
    const responses: string[] = []
    socket.on('data', data => responses.push(data.toString()))
    socket.write('a')
    await once(socket, 'close')
    expect([received, responses]).toEqual([['a'], []])
    expect(await sendAndReceive(await open(), 'b')).toEqual('echo:b')
  })

  it('discards only responses when the direction to the client is cut', async () => {
    const { open, faults, received } = await startRoute()
    const socket = await open()
    const responses: string[] = []
    socket.on('data', data => responses.push(data.toString()))
    await faults({ one_way_cut: 'to_client' })
    socket.write('a')
    await until(() => received.length === 1)
    await sleep(SETTLE_MS)
    expect(responses).toEqual([])
    expect(socket.destroyed).toEqual(false)
  })

  // A byte stream with missing data would look like a fault of the processes that read it.
  it('forwards nothing after data that was discarded', async () => {
    const { open, faults, received } = await startRoute()
    const socket = await open()
    const responses: string[] = []
    socket.on('data', data => responses.push(data.toString()))
    await faults({ one_way_cut: 'to_client' })
    socket.write('a')
    await until(() => received.length === 1)
    await sleep(SETTLE_MS)
    await faults()
    socket.write('b')
    await until(() => received.length === 2)
    await sleep(SETTLE_MS)
    expect(responses).toEqual([])
    expect(await sendAndReceive(await open(), 'c')).toEqual('echo:c')
  })

  it('discards requests when the direction to the target is cut', async () => {
    const { open, faults, received } = await startRoute()
    const socket = await open()
    await faults({ one_way_cut: 'to_target' })
    socket.write('lost')
    await sleep(SETTLE_MS)
    expect(received).toEqual([])
    expect(socket.destroyed).toEqual(false)
  })

  it('closes and refuses connections while cut, and accepts again afterwards', async () => {
    const { open, faults } = await startRoute()
    const socket = await open()
    const ended = once(socket.resume(), 'end')
    await faults({ cut: true })
    await ended
    await expect(open()).toBeRejected()
    await faults()
    expect(await sendAndReceive(await open(), 'a')).toEqual('echo:a')
  })

  it('resets connections', async () => {
    const { open, faults } = await startRoute()
    const socket = await open()
    await sendAndReceive(socket, 'a')
    const failure = once(socket, 'error')
    await faults({ reset: true })
    expect((await failure)[0].code).toEqual('ECONNRESET')
  })

  it('closes the direction to the client and keeps the other one', async () => {
    const { open, faults, received } = await startRoute()
    const socket = await open(true)
    await sendAndReceive(socket, 'a')
    const ended = once(socket, 'end')
    await faults({ half_close: true })
    await ended
    socket.write('b')
    await until(() => received.length === 2)
    expect(received).toEqual(['a', 'b'])
  })
})
