import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../../common/log/test/testServices.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { UsageContribution } from '../../common/usage/UsageContribution.js'
import type { UsageReceipt } from '../../common/usage/UsageReceipt.js'
import { defaultUpstreamProtocol } from '../upstream/defaultUpstreamProtocol.js'
import { HttpUpstreamClient } from '../upstream/HttpUpstreamClient.js'
import { ClientBudget } from './ClientBudget.js'
import { HttpListener } from './HttpListener.js'
import { UsageRelay } from './UsageRelay.js'

const { logger, metrics } = testServices()
const contribution: UsageContribution = { entry: 'a', process: 'p', sentAtUnixMs: 1, windows: [{ window: 7, counts: { x: 2 } }], unconfirmed: [6] }
const receipt: UsageReceipt = { epoch: 3, sentAtUnixMs: 1, unixMs: 5, taken: [7], committed: [6], refused: [] }

describe('UsageRelay', () => {
  let client: HttpUpstreamClient
  let listener: HttpListener
  let leaderAddress: string | undefined
  let received: UsageContribution[]
  let respond: () => UsageReceipt | undefined
  let relay: UsageRelay

  beforeEach(async () => {
    received = []
    respond = () => receipt
    client = new HttpUpstreamClient({ maxBodyBytes: 1_000_000, maxHeaderBytes: 16_384 }, { ...defaultUpstreamProtocol, requestIdHeader: 'request-id', forwardsHost: true })
    listener = new HttpListener('peers', async request => {
      if (!UsageRelay.isUsagePath(request.path)) return { status: 404 }
      return UsageRelay.serve(request, body => {
        received.push(body)
        return respond()
      }, logger)
    }, logger, metrics, new ClientBudget({ memoryMb: 210, maxFds: 2212 }))
    leaderAddress = await listener.listen('127.0.0.1:0')
    relay = new UsageRelay({ leaderAddress: () => leaderAddress } as unknown as ILeadership, '127.0.0.1:1', client, logger)
  })
  afterEach(() => {
    mock.restoreAll()
    client.dispose()
    listener.dispose()
  })

  it('brings a contribution to the leader and its receipt back', async () => {
    expect(await relay.send(contribution)).toEqual(receipt)
    expect(received).toEqual([contribution])
  })

  // Guards against counts that are given up although no holder has them.
  it('returns no receipt from an entry that does not lead, without a leader and from an address without an entry', async () => {
    respond = () => undefined
    expect(await relay.send(contribution)).toEqual(undefined)
    leaderAddress = undefined
    expect(await relay.send(contribution)).toEqual(undefined)
    leaderAddress = '127.0.0.1:1'
    expect(await relay.send(contribution)).toEqual(undefined)
    leaderAddress = '127.0.0.1:9'
    expect(await relay.send(contribution)).toEqual(undefined)
  })

  // Guards against windows that are confirmed by a second copy of an earlier receipt on the connection.
  it('ignores the receipt of another contribution', async () => {
    expect(await relay.send({ ...contribution, sentAtUnixMs: 2 })).toEqual(undefined)
  })

  // Guards against a holder whose receipts are ignored without a trace, for example after an update of a part of the entries.
  it('logs a malformed receipt', async () => {
    const events: string[] = []
    mock.method(logger, 'error', (_fields: object, event: string) => events.push(event))
    respond = () => ({ ...receipt, epoch: 'x' } as unknown as UsageReceipt)
    expect(await relay.send(contribution)).toEqual(undefined)
    expect(events).toEqual(['usage_receipt_malformed'])
  })

  it('rejects malformed contributions', () => {
    for (const body of ['', '{', '{}', JSON.stringify({ ...contribution, windows: [{ window: 7, counts: { x: -1 } }] })]) {
      expect(UsageRelay.serve({ body: Buffer.from(body) } as unknown as Parameters<typeof UsageRelay.serve>[0], () => receipt, logger).status).toEqual(400)
    }
  })
})
