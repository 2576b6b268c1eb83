import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { SharedBudget } from '../../kernel/SharedBudget.js'
import type { Route } from '../../routing/Route.js'
import type { Batch } from '../Batch.js'
import type { EngineRunOutcome } from './EngineRunOutcome.js'
import type { EngineSend } from '../link/EngineSend.js'
import type { IEngineTransport } from './IEngineTransport.js'
import type { ItemState } from '../record/ItemState.js'
import type { RunWait } from './RunWait.js'

/** Minimum length of a window over which the event interval is measured. */
const INTERVAL_WINDOW_MS = 200
/** Several times a page of results. An engine that sends more is faulty. */
const MAX_OUTPUT_BYTES = 4_000_000
/** Memory of an event besides its data. */
const EVENT_OVERHEAD_BYTES = 32
/** Number of events of a run before its event interval is known. */
const MIN_EVENTS_FOR_INTERVAL = 3

interface ItemRunOptions {
  batch: Batch
  state: ItemState
  engine: FleetUpstream
  /** Route of the batch at the start of the run; it may have been removed since. */
  route: Route
  service: string
  /** Time until the retention of the batch ends, after which the engine may stop. */
  remainingMs: number
  /** Memory that the output of all runs in flight shares. */
  outputBudget: SharedBudget
  /** The item's body on its way to the engine. */
  send: EngineSend
}

/** One run of an item at one engine. Events are appended to the item's progress as they arrive. */
export class ItemRun {
  private readonly _controller = new AbortController()
  private readonly _startedAtMs = performance.now()
  private _connectedAtMs?: number
  private _respondedAtMs?: number
  private _firstEventAtMs?: number
  private _lastEventAtMs?: number
  private _eventCount = 0
  private _windowStartMs?: number
  private _windowEvents = 0
  private _version?: number
  private _isStale = false
  private _outputBytes = 0
  /** Why the output was found to be too long. */
  private _excess?: string
  /** Reason of the first cancel, for logs and metrics; undefined while not cancelled. */
  cancelReason?: string

  readonly batch: Batch
  readonly state: ItemState
  readonly engine: FleetUpstream
  /** Route of the batch at the start of the run; it may have been removed since. */
  readonly route: Route
  readonly service: string
  private readonly _remainingMs: number
  private readonly _outputBudget: SharedBudget
  private readonly _bodySend: EngineSend

  constructor (options: ItemRunOptions, private readonly _transport: IEngineTransport) {
    this.batch = options.batch
    this.state = options.state
    this.engine = options.engine
    this.route = options.route
    this.service = options.service
    this._remainingMs = options.remainingMs
    this._outputBudget = options.outputBudget
    this._bodySend = options.send
  }

  get isCancelled (): boolean {
    return this.cancelReason !== undefined
  }

  /** Whether another engine may resume the output at any event. */
  get isMovable (): boolean {
    return this.route.isResumable && !this.route.isSingleVersion
  }

  get durationMs (): number {
    return performance.now() - this._startedAtMs
  }

  /** What the run waits for, or waited for when it ended. */
  get waitsFor (): RunWait {
    if (this._respondedAtMs !== undefined) return 'events'
    if (this._connectedAtMs === undefined) return 'connection'
    return this._bodySend.sentAtMs === undefined ? 'body' : 'response'
  }

  /** Time from the start of the run until its connection was open; undefined before. */
  get connectedAfterMs (): number | undefined {
    return this._connectedAtMs === undefined ? undefined : this._connectedAtMs - this._startedAtMs
  }

  /** Time from the start of the run until its body was sent, as modelled; undefined before. */
  get sentAfterMs (): number | undefined {
    const { sentAtMs } = this._bodySend
    return sentAtMs === undefined ? undefined : sentAtMs - this._startedAtMs
  }

  /** Time from the start of the run until its engine responded; undefined before. */
  get respondedAfterMs (): number | undefined {
    return this._respondedAtMs === undefined ? undefined : this._respondedAtMs - this._startedAtMs
  }

  /** Mean time between two events of this run; undefined before its third event. */
  get eventIntervalMs (): number | undefined {
    if (this._eventCount < MIN_EVENTS_FOR_INTERVAL || this._firstEventAtMs === undefined) return undefined
    // The time since the last event counts once it exceeds the mean, so that a slow-down shows before the next event.
    const untilMs = Math.max(this._lastEventAtMs ?? 0, performance.now() - (this._lastEventAtMs ?? 0) > this._meanIntervalMs() ? performance.now() : 0)
    return (untilMs - this._firstEventAtMs) / (this._eventCount - 1)
  }

  /** Number of events of this run, without those of earlier runs of the item. */
  get eventCount (): number {
    return this._eventCount
  }

  /**
   * Time for which the engine has been silent: since the last event; before the first, since it should have the whole
   * request, or since the start of the run while the connection is not open.
   */
  silentMs (): number {
    const nowMs = performance.now()
    if (this._lastEventAtMs !== undefined) return nowMs - this._lastEventAtMs
    return nowMs - (this._connectedAtMs === undefined ? this._startedAtMs : this._bodySend.sentAtMs ?? nowMs)
  }

  /** Whether the link of this host may be why the engine has not responded. */
  get isLinkSuspect (): boolean {
    return this._respondedAtMs === undefined && this._connectedAtMs !== undefined && this._bodySend.isLinkSuspect
  }

  /** Aborts the run. Later events are dropped. */
  cancel (reason: string): void {
    this.cancelReason ??= reason
    this._controller.abort()
  }

  /** Gives the run up because its engine is silent. */
  cancelSilent (): void {
    this.cancel('silent')
    this._bodySend.end(this._connectedAtMs !== undefined)
  }

  /** Ends the run because its engine sends too much. */
  fail (reason: string): void {
    this._excess = reason
    this.cancel('output too long')
  }

  /** Runs the item and resolves with the outcome. */
  async execute (): Promise<EngineRunOutcome> {
    this.engine.outstanding += 1
    for (const data of this.state.progress.events) this._countOutput(data)
    const outcome = await this._send().catch((fault: unknown): EngineRunOutcome => ({ kind: 'broken', reason: `unexpected error: ${String(fault)}` }))
    this.engine.outstanding -= 1
    this._bodySend.end(false)
    this._outputBudget.release(this)
    if (this._excess !== undefined) return this._discardOutput(this._excess)
    if (this._isStale) return { kind: 'broken', reason: 'generated by a version that the batch does not accept' }
    // Events after a cancel are dropped, so the output may lack its end.
    if (this.isCancelled && outcome.kind === 'complete') return { kind: 'broken', reason: 'cancelled before the end' }
    return outcome
  }

  /** The end of the output is unknown, so none of it can be kept. */
  private _discardOutput (reason: string): EngineRunOutcome {
    this.engine.recordFailure()
    this.state.restart()
    return { kind: 'broken', reason: `output too long: ${reason}` }
  }

  private _countOutput (data: string): void {
    const bytes = data.length + EVENT_OVERHEAD_BYTES
    this._outputBytes += bytes
    if (this._outputBytes > MAX_OUTPUT_BYTES) this.fail(`exceeds ${MAX_OUTPUT_BYTES} bytes`)
    else this._outputBudget.add(this, bytes)
  }

  private async _send (): Promise<EngineRunOutcome> {
    const { item, progress } = this.state
    const { host, organisation } = this.batch.spec
    return await this._transport.run(
      { item, host, organisation, lastEventId: progress.lastEventId, remainingMs: this._remainingMs },
      this.engine,
      {
        onConnected: () => { this._connectedAtMs = performance.now() },
        onVersion: version => this._onVersion(version),
        onLoad: load => this.engine.recordLoad(load),
        onLeaving: () => this.engine.recordLeaving(),
        onEvent: (id, data) => this._onEvent(id, data)
      },
      this._controller.signal
    )
  }

  private _onVersion (version: number): void {
    if (this._respondedAtMs === undefined) {
      this._respondedAtMs = performance.now()
      this._bodySend.respond()
    }
    this._version = version
    this.engine.recordVersion(this.batch.spec.model, version)
    if (version < this.batch.spec.minVersion) {
      this._isStale = true
      this.cancel('version')
    } else if (this._wouldMixVersions(version)) {
      this.cancel('version changed')
    }
  }

  /** Whether the next event would give the output a second version on a route that allows one. */
  private _wouldMixVersions (version: number): boolean {
    return this.route.isSingleVersion && this.state.progress.versions.some(known => known !== version)
  }

  private _onEvent (id: number, data: string): void {
    // After a cancel another run may already be extending the output.
    if (this.isCancelled) return
    const { progress } = this.state
    if (id !== progress.lastEventId + 1 || this._version === undefined) {
      this.cancel(`event ${id} after ${progress.lastEventId}`)
      return
    }
    progress.events.push(data)
    progress.lastEventId = id
    this._countOutput(data)
    if (!progress.versions.includes(this._version)) progress.versions.push(this._version)
    const nowMs = performance.now()
    this._measureInterval(nowMs)
    this._eventCount += 1
    this._lastEventAtMs = nowMs
    this._firstEventAtMs ??= this._lastEventAtMs
  }

  /** Measures the event interval over time windows, because a busy process reads events late and in bursts. */
  private _measureInterval (nowMs: number): void {
    if (this._windowStartMs === undefined) {
      this._windowStartMs = nowMs
      return
    }
    this._windowEvents += 1
    const windowMs = nowMs - this._windowStartMs
    if (windowMs < INTERVAL_WINDOW_MS) return
    this.engine.recordEventInterval(windowMs / this._windowEvents, windowMs)
    this._windowStartMs = nowMs
    this._windowEvents = 0
  }

  private _meanIntervalMs (): number {
    return ((this._lastEventAtMs ?? 0) - (this._firstEventAtMs ?? 0)) / Math.max(1, this._eventCount - 1)
  }
}
