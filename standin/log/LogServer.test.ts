import { setTimeout as sleep } from 'node:timers/promises'
import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { startServer } from '../common/startServer.js'
import { LogServer } from './LogServer.js'
import { LogStream } from './LogStream.js'

// Aborts a run that would otherwise hang.
const TIMEOUT_MS = 60_000

const RETENTION_MS = 3_600_000
const closers: Array<() => void> = []

async function startLog (retentionMs = RETENTION_MS, appendRate = 0) {
  const log = new LogServer(retentionMs, appendRate)
  const { server, address } = await startServer(log.app, '127.0.0.1:0')
  closers.push(() => {
    server.close()
    if ('closeAllConnections' in server) server.closeAllConnections()
  })
  const url = `http://${address}/v1/streams/claims/records`
  return {
    log,
    append: async (...records: unknown[]) => await fetch(url, { method: 'POST', body: JSON.stringify({ records }) }),
    read: async (from: number, waitMs = 0) => await fetch(`${url}?from=${from}&wait_ms=${waitMs}`),
    faults: async (faults: unknown) => await fetch(`http://${address}/faults`, { method: 'POST', body: JSON.stringify(faults) })
  }
}

async function valuesOf (response: Response): Promise<unknown[]> {
  const page = await response.json() as { records: Array<{ value: unknown }> }
  return page.records.map(record => record.value)
}

describe('log', { timeout: TIMEOUT_MS }, () => {
  after(() => { for (const close of closers) close() })

  it('assigns consecutive offsets over several appends', async () => {
    const { append, read } = await startLog()
    expect(await (await append('a', 'b')).json()).toEqual({ first_offset: 0, next_offset: 2 })
    expect(await (await append('c')).json()).toEqual({ first_offset: 2, next_offset: 3 })
    expect(await valuesOf(await read(1))).toEqual(['b', 'c'])
  })

  it('trims records by age and keeps the offsets of the others', () => {
    const stream = new LogStream(50)
    stream.append(['a', 'b'], 0)
    stream.append(['c'], 100)
    expect(stream.earliestOffset(50)).toEqual(0)
    expect(stream.earliestOffset(120)).toEqual(2)
    expect(stream.read(2, 10)).toEqual([{ offset: 2, time_ms: 100, value: 'c' }])
    expect(stream.earliestOffset(200)).toEqual(3)
    expect(stream.append(['d'], 300)).toEqual(3)
  })

  it('keeps offsets when many records are past the retention', () => {
    const stream = new LogStream(50)
    for (let n = 0; n < 3000; n++) stream.append([n], n)
    expect(stream.earliestOffset(3000)).toEqual(2950)
    expect(stream.read(2950, 1)[0]?.value).toEqual(2950)
  })

  it('keeps records past the retention while it is paused', async () => {
    const { append, read, faults } = await startLog(200)
    await append('a')
    await faults({ retention_paused: true })
    await sleep(300)
    expect(await valuesOf(await read(0))).toEqual(['a'])
    await faults({})
    expect((await read(0)).status).toEqual(410)
  })

  it('responds with 410 and the available offsets to a read below the earliest offset', async () => {
    const { append, read } = await startLog(1)
    await append('a')
    await sleep(20)
    const response = await read(0)
    expect(response.status).toEqual(410)
    expect(await response.json()).toEqual({ earliest_offset: 1, next_offset: 1 })
  })

  it('applies an append whose response is lost', async () => {
    const { append, read, faults } = await startLog()
    await faults({ lose_append_answers: 1 })
    await expect(append('a')).toBeRejected()
    expect((await append('b')).status).toEqual(200)
    expect(await valuesOf(await read(0))).toEqual(['a', 'b'])
  })

  it('does not apply an append that it refuses', async () => {
    const { append, read, faults } = await startLog()
    await faults({ refuse_appends: true })
    expect((await append('a')).status).toEqual(503)
    await faults({})
    expect(await valuesOf(await read(0))).toEqual([])
  })

  it('ends a long-poll read on an append and on an outage', async () => {
    const { append, read, faults } = await startLog()
    const pendingRead = read(0, 60_000)
    await append('a')
    expect(await valuesOf(await pendingRead)).toEqual(['a'])
    const failed = read(1, 60_000)
    await faults({ outage: true })
    expect((await failed).status).toEqual(503)
  })

  it('limits the rate of appends over all streams', async () => {
    const { append } = await startLog(RETENTION_MS, 0.001)
    expect((await append('a')).status).toEqual(200)
    expect((await append('b')).status).toEqual(429)
  })

  it('refuses an unknown fault field, so that a misspelt fault is not silently ignored', async () => {
    const { faults } = await startLog()
    expect((await faults({ lose_answers: 1 })).status).toEqual(400)
  })
})
