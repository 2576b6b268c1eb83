import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { testServices } from '../../common/log/test/testServices.js'
import { waitUntil } from '../../../tools/harness/waitUntil.js'
import { ClientBudget } from './ClientBudget.js'
import type { ListenerResponse } from './ListenerResponse.js'
import { HttpListener } from './HttpListener.js'
import type { ListenerRequest } from './ListenerRequest.js'

const { logger, metrics } = testServices()
const limits = { maxHeaderBytes: 500, maxBodyBytes: 100, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
/** As many bodies in tiny chunks may wait for a turn. */
const MAX_WAITING = 25
const LATER_CALLERS = 12
/** Enough to wait for a turn once. */
const TINY_CHUNKS = 2500

describe('HttpListener', () => {
  let listener: HttpListener
  let address: string
  let handler: (request: ListenerRequest) => Promise<ListenerResponse | undefined>
  const sockets: Socket[] = []

  beforeEach(async () => {
    handler = async request => ({ status: 200, body: `${request.method} ${request.target} ${request.body.toString()}` })
    listener = new HttpListener('front', async request => await handler(request), logger, metrics, new ClientBudget({ memoryMb: 210, maxFds: 2212 }))
    listener.setLimits(limits)
    address = await listener.listen('127.0.0.1:0')
  })
  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    listener.dispose()
  })

  function open (): { socket: Socket, text: () => string, isClosed: () => boolean } {
    const [host, port] = address.split(':')
    const socket = connect(Number(port), host)
    sockets.push(socket)
    let text = ''
    let isClosed = false
    socket.on('data', chunk => { text += chunk.toString() })
    socket.on('close', () => { isClosed = true })
    socket.on('error', () => {})
    return { socket, text: () => text, isClosed: () => isClosed }
  }

  async function exchange (raw: string): Promise<string> {
    const { socket, text } = open()
    socket.write(raw)
    for (let waitedMs = 0; waitedMs < 1000 && text() === ''; waitedMs += 10) await sleep(10)
    await sleep(20)
    return text()
  }

  it('reads complete bodies, with a content length or chunked, and keeps the target as sent', async () => {
    expect(await exchange('POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc')).toInclude('POST /a/b?c=1 abc')
    expect(await exchange('POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n')).toInclude('POST /x abc')
  })

  it('rejects requests that exceed the configured limits or have ambiguous framing', async () => {
    expect(await exchange(`GET / HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(600)}\r\n\r\n`)).toInclude(' 431 ')
    expect(await exchange('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n')).toInclude(' 413 ')
    expect(await exchange(`POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n${'x'.repeat(128)}\r\n0\r\n\r\n`)).toInclude(' 413 ')
    expect(await exchange('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n')).toInclude(' 400 ')
  })

  it('aborts the signal of the handler at once when the caller disconnects', async () => {
    let isAborted = false
    handler = async request => await new Promise(resolve => request.signal.addEventListener('abort', () => {
      isAborted = true
      resolve(undefined)
    }))
    const { socket } = open()
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await sleep(50)
    socket.destroy()
    await sleep(50)
    expect(isAborted).toEqual(true)
    expect(listener.inFlight).toEqual(0)
  })

  it('responds to received requests at a planned stop, and closes connections that are idle between requests', async () => {
    const idle = open()
    idle.socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await sleep(50)
    handler = async () => {
      await sleep(150)
      return { status: 200, body: 'late' }
    }
    const busy = open()
    busy.socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await sleep(50)
    listener.disableKeepAlive()
    listener.closeIdle()
    await sleep(50)
    expect(idle.text()).toInclude('200 OK')
    expect([idle.isClosed(), busy.isClosed()]).toEqual([true, false])
    await sleep(150)
    expect(busy.text()).toInclude('late')
    expect(busy.text().toLowerCase()).toInclude('connection: close')
  })

  // Guards against aborted bodies that keep the places of others until their turns have come.
  it('gives the places of bodies in tiny chunks that were aborted while they waited to others at once', async () => {
    listener.setLimits({ ...limits, maxBodyBytes: 100_000, idleTimeoutMs: 30_000 })
    const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    const tinyChunks = '1\r\nx\r\n'.repeat(TINY_CHUNKS)
    for (let count = 0; count < MAX_WAITING; count++) open().socket.write(head + tinyChunks)
    await waitUntil('all bodies are being read', () => listener.inFlight === MAX_WAITING)
    await sleep(100)
    listener.cutOffPending()
    const callers = Array.from({ length: LATER_CALLERS }, () => open())
    for (const { socket } of callers) socket.write(`${head}${tinyChunks}0\r\n\r\n`)
    await waitUntil('all have a response', () => callers.every(({ text }) => text().includes('\r\n\r\n')))
    expect(callers.map(({ text }) => text().slice(0, 12))).toEqual(Array<string>(LATER_CALLERS).fill('HTTP/1.1 200'))
  })
})
