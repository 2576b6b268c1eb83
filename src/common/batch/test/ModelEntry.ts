import { testServices } from '../../log/test/testServices.js'
import type { IStoreClient } from '../../store/IStoreClient.js'
import { Leadership } from '../../store/Leadership.js'
import { FaultyStoreClient } from '../../store/test/FaultyStoreClient.js'
import { BatchService } from '../BatchService.js'
import type { BatchRunner } from '../run/BatchRunner.js'
import type { IModelFaults } from './IModelFaults.js'
import { ResultRunner } from './ResultRunner.js'

const RUN_INTERVAL_MS = 150
/** A batch is ended in every such round of the runner, also if it has not all results. */
const ROUNDS_PER_BATCH = 7
const RETENTION_MS = 1_000_000
const { logger } = testServices()

/** One entry; a restart kills it, with its calls to the store still under way. */
export class ModelEntry {
  readonly client: FaultyStoreClient
  leadership!: Leadership
  service!: BatchService
  incarnation = 0

  constructor (store: IStoreClient, private readonly _model: IModelFaults, private readonly _name: string) {
    this.client = new FaultyStoreClient(store, () => _model.nextFault())
    this.start()
  }

  get address (): string {
    return `10.0.0.1:${this._name}`
  }

  get isLeading (): boolean {
    return this.leadership.validEpoch() !== undefined
  }

  start (): void {
    this.incarnation += 1
    const name = `${this._name}#${this.incarnation}`
    this.leadership = new Leadership(this.client, name, this.address, logger)
    this.leadership.onGained(epoch => this._model.recordGained(epoch))
    const createRunner: ConstructorParameters<typeof BatchService>[2] = (store, epoch) => {
      if (this._model.nextTermFails()) throw new Error('term fails')
      return new ResultRunner(store, `${name}@${epoch}`, RUN_INTERVAL_MS, (_batch, round) => round % ROUNDS_PER_BATCH === 0) as unknown as BatchRunner
    }
    this.service = new BatchService(this.client, this.leadership, createRunner, RETENTION_MS, logger)
    this.leadership.start()
  }

  kill (): void {
    this.incarnation += 1
    this.service.dispose()
    this.leadership.dispose()
  }

  /** Whether the process that was running at `incarnation` still runs, so that its responses arrive. */
  isRunning (incarnation: number): boolean {
    return this.incarnation === incarnation
  }
}
