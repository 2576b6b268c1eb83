import { DutyHolder } from '../duty/DutyHolder.js'
import type { IDutyClient } from '../duty/IDutyClient.js'
import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { ILeadership } from '../store/ILeadership.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import type { IContributionSender } from './IContributionSender.js'
import type { IUsageMeter } from './IUsageMeter.js'
import { UsageClock } from './UsageClock.js'
import { UsageCollector } from './UsageCollector.js'
import type { UsageContribution } from './UsageContribution.js'
import { UsageContributor } from './UsageContributor.js'
import { UsageLedger } from './UsageLedger.js'
import { UsageMeter } from './UsageMeter.js'
import type { UsageOptions } from './UsageOptions.js'
import type { UsageReceipt } from './UsageReceipt.js'
import { UsageReporter } from './UsageReporter.js'
import { UsageSchedule } from './UsageSchedule.js'

const DUTY = 'usage_report'
/** Also the shortest time between two calls to the platform, which is far below its limits. */
const TICK_INTERVAL_MS = 200

/** Usage reports: counts the requests of this entry, and reports those of all entries while this entry leads. */
export class UsageService extends Disposable {
  private readonly _schedule: UsageSchedule
  private readonly _meter: UsageMeter
  private readonly _contributor: UsageContributor
  private readonly _clock: UsageClock
  private readonly _holder: DutyHolder
  private _reporter?: UsageReporter

  /** Has to be created before the leadership is started. */
  constructor (
    private readonly _storeClient: IStoreClient,
    private readonly _leadership: ILeadership,
    private readonly _client: IDutyClient,
    sender: IContributionSender,
    private readonly _options: UsageOptions,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._schedule = new UsageSchedule(_options)
    this._meter = new UsageMeter(this._schedule, _logger)
    this._clock = new UsageClock(this._schedule)
    this._holder = this._register(new DutyHolder(DUTY, _leadership, _options.leaseMs, _logger, _metrics))
    const ownOrRemote: IContributionSender = { send: async contribution => _leadership.isLeader ? this.accept(contribution) : await sender.send(contribution) }
    this._contributor = new UsageContributor(_options.entryId, this._meter, this._schedule, _leadership, ownOrRemote, _logger)
    this._register(_leadership.onGained(epoch => this._onGained(epoch)))
    this._register(_leadership.onLost(() => this._endTerm()))
    this._register(toDisposable(() => this._endTerm()))
  }

  /** Counts the requests that this entry sends. */
  get meter (): IUsageMeter {
    return this._meter
  }

  start (): void {
    this._register(startInterval(() => {
      this._contributor.tick()
      this._reporter?.tick(this._leadership.validEpoch() === this._reporter.epoch)
    }, TICK_INTERVAL_MS))
  }

  /** Takes the counts of an entry; undefined unless this entry leads and knows the time, so that they have to be sent again. */
  accept (contribution: UsageContribution): UsageReceipt | undefined {
    if (this._reporter === undefined || this._leadership.validEpoch() !== this._reporter.epoch) return undefined
    return this._reporter.accept(contribution)
  }

  /** Sends all counts of this entry to the leader, also those of the present window; at the end of a planned stop. */
  async flush (timeoutMs: number): Promise<void> {
    await this._contributor.flush(timeoutMs)
  }

  private _onGained (epoch: number): void {
    this._endTerm()
    const ledger = new UsageLedger(this._storeClient, epoch, this._logger)
    const duty = { holder: this._holder, client: this._client }
    const identity = { entryId: this._options.entryId, epoch }
    this._reporter = new UsageReporter(identity, this._schedule, ledger, new UsageCollector(this._schedule), this._clock, duty, this._logger, this._metrics)
  }

  private _endTerm (): void {
    this._reporter?.dispose()
    this._reporter = undefined
  }
}
