import { Disposable } from '../../kernel/Disposable.js'
import { toDisposable } from '../../kernel/toDisposable.js'
import { testServices } from '../../log/test/testServices.js'
import { HookedStoreClient } from '../../store/test/HookedStoreClient.js'
import { MemoryStore } from '../../store/test/MemoryStore.js'
import type { Batch } from '../Batch.js'
import type { BatchReadOutcome } from '../BatchReadOutcome.js'
import { BatchStore } from '../BatchStore.js'
import type { BatchItem } from '../record/BatchItem.js'
import { StoredBatchReader } from '../StoredBatchReader.js'
import { createItem } from './createItem.js'
import { createSpec } from './createSpec.js'

/** Less than the margin that the store of batches adds, so that each batch is expired when a test removes it. */
const RETENTION_MS = -30_000
const ID = 'batch-1'
const { logger } = testServices()

/** A leader that writes batches, and a reader of another entry, whose pages a test may delay. */
export class StoredReaderHarness extends Disposable {
  static readonly deadlineMs = 1000
  readonly memory = new MemoryStore()
  readonly client = new HookedStoreClient(this.memory)
  /** Lines that the reader has logged, with their event. */
  readonly log: Array<Record<string, unknown>> = []
  /** Request and outcome of each count of the reader. */
  readonly counts: string[] = []
  readonly reader: StoredBatchReader
  leader = new BatchStore(this.memory, 1, RETENTION_MS, logger)

  constructor () {
    super()
    const push = (fields: Record<string, unknown>, event: string): void => { this.log.push({ event, ...fields }) }
    const count = (_: string, labels?: Record<string, string>): void => { this.counts.push(`${labels?.['request']} ${labels?.['outcome']}`) }
    this.reader = new StoredBatchReader(this.client, { ...logger, info: push, warn: push }, { count, gauge () {}, duration () {} })
    this._register(toDisposable(() => this.leader.dispose()))
  }

  /** Last line of the log. */
  get lastLine (): Record<string, unknown> {
    return this.log.at(-1) ?? {}
  }

  async submit (items: readonly BatchItem[], id = ID, organisation?: string): Promise<Batch> {
    return (await this.leader.submit(createSpec({ id, itemCount: items.length, organisation }), items))._unsafeUnwrap()
  }

  /** Submits a batch with the items `i0`, `i1` and so on. */
  async submitItems (count: number, id = ID): Promise<Batch> {
    return await this.submit(Array.from({ length: count }, (_, index) => createItem(`i${index}`, 'g')), id)
  }

  async finish (batch: Batch, index: number, text = `text ${index}`): Promise<void> {
    (await this.leader.addResult(batch, { itemId: `i${index}`, state: 'completed', text, versions: [1] }))._unsafeUnwrap()
  }

  /** Replaces the leader, and returns the batch as the next one has restored it. */
  async takeOver (epoch: number): Promise<Batch> {
    this.leader.dispose()
    this.leader = new BatchStore(this.memory, epoch, RETENTION_MS, logger)
    await this.leader.open()
    const batch = this.leader.find(ID)
    if (batch === undefined) throw new Error('the batch is lost')
    return batch
  }

  /** Removes all batches, as at the end of their retention. */
  async removeAll (): Promise<void> {
    await this.leader.removeExpired(Date.now())
  }

  async read (fromPosition = 0, id = ID, organisation?: string): Promise<BatchReadOutcome> {
    return await this.reader.read(id, fromPosition, organisation, performance.now() + StoredReaderHarness.deadlineMs)
  }

  /** The texts that are listed, or the kind of the outcome. */
  async texts (fromPosition = 0, id = ID): Promise<string[] | string> {
    const outcome = await this.read(fromPosition, id)
    return outcome.kind === 'results' ? outcome.results.map(({ text }) => text) : outcome.kind
  }

  /** The body after its kind, or the kind of the outcome. */
  async find (itemId: string, id = ID, organisation?: string): Promise<string> {
    const outcome = await this.reader.findItem(id, itemId, organisation, performance.now() + StoredReaderHarness.deadlineMs)
    return outcome.kind === 'body' ? `body ${outcome.bodyBase64}` : outcome.kind
  }
}
