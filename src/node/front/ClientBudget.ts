import type { HostLimits } from './HostLimits.js'
import type { IBudgetHolder } from './IBudgetHolder.js'
import type { ListenerName } from './ListenerName.js'

const BYTES_PER_MB = 1_000_000
/** Resident memory of an entry without load, started as separate modules, which take more than a bundle, with a margin. */
const PROCESS_BYTES = 95_000_000
/** Share of the remaining memory for clients. The rest is for responses of upstreams and for garbage that is not yet collected. */
const CLIENT_SHARE = 0.55
/** Objects of an open connection in the process. */
const CONNECTION_BYTES = 8_000
/** On a host below the smallest one in use, small requests are still served. */
const MIN_BUDGET_BYTES = 4_000_000
/** Descriptors that platforms keep for files; of fewer than twice as many, half are for sockets. */
const FILE_FDS = 200
/** Share of the sockets for connections to the store, to upstreams and to peers. */
const OUTGOING_SHARE = 0.4
/** Of the outgoing connections, those for requests of callers, each of which may need one. The others are for engines, store and peers. */
const RUNNING_SHARE = 0.6
/** Of the connections of clients. A leader has a few connections of each peer. */
const CONNECTION_SHARES: Record<ListenerName, number> = { front: 0.62, peers: 0.32, ready: 0.06 }
const MIN_CONNECTIONS = 8
/** Header sections that arrive at the same moment are counted only afterwards, so all connections together must fit. */
const UNCOUNTED_BYTES = 40_000
const UNCOUNTED_SHARE = 0.5
/** Part of the budget that only a listener itself may use, so that the others cannot shut out its clients. */
const RESERVED_SHARES: Record<ListenerName, number> = { front: 0.05, peers: 0.08, ready: 0.02 }
/** A holder of at most this size is an ordinary one and may use the part that large ones may not. */
const ORDINARY_BYTES = 131_072
const ORDINARY_RESERVED_SHARE = 0.05
/** A client that has neither sent nor read anything for this long makes no progress; a pause of the network is shorter. */
const STALL_MS = 1000

/**
 * Memory and descriptors that clients may use in one process, derived from the limits of its host. When the memory runs
 * short, it sheds load: first the clients that have made no progress for the longest time, then the largest ones.
 */
export class ClientBudget {
  readonly maxBytes: number
  /** A client without progress for this long may be closed before the others. */
  readonly stallMs = STALL_MS
  /** Requests of callers that may run at the same time; each may need a connection to an upstream or a peer. */
  readonly maxRunningRequests: number
  private readonly _bytesByHolder = new Map<IBudgetHolder, number>()
  private readonly _usedBytes: Record<ListenerName, number> = { front: 0, peers: 0, ready: 0 }
  private readonly _maxConnections: Record<ListenerName, number>

  constructor ({ memoryMb, maxFds, maxCallerConnections = Infinity }: HostLimits) {
    const availableBytes = Math.max(0, memoryMb * BYTES_PER_MB - PROCESS_BYTES)
    const socketCount = Math.max(maxFds - FILE_FDS, maxFds / 2)
    const connectionCount = Math.min(socketCount * (1 - OUTGOING_SHARE), availableBytes * UNCOUNTED_SHARE / UNCOUNTED_BYTES)
    const connections = (listener: ListenerName): number => Math.max(MIN_CONNECTIONS, Math.floor(connectionCount * CONNECTION_SHARES[listener]))
    this._maxConnections = { front: Math.min(maxCallerConnections, connections('front')), peers: connections('peers'), ready: connections('ready') }
    this.maxRunningRequests = Math.max(MIN_CONNECTIONS, Math.floor(socketCount * OUTGOING_SHARE * RUNNING_SHARE))
    const clientBytes = availableBytes * CLIENT_SHARE - connectionCount * CONNECTION_BYTES
    this.maxBytes = Math.max(MIN_BUDGET_BYTES, Math.floor(clientBytes))
  }

  maxConnections (listener: ListenerName): number {
    return this._maxConnections[listener]
  }

  usedBytes (listener: ListenerName): number {
    return this._usedBytes[listener]
  }

  /**
   * Adds bytes of a holder, after shedding others as far as necessary. Returns false if there is no room: then nothing
   * was added, and the holder itself may have been shed.
   */
  add (holder: IBudgetHolder, bytes: number): boolean {
    while (!this._hasRoom(holder, bytes)) {
      const victim = this._findVictim(holder)
      if (victim === undefined) return false
      this._shed(victim)
      if (victim === holder) return false
    }
    this._change(holder, bytes)
    return true
  }

  /** Adds bytes that are in memory already and cannot be rejected, and sheds others as far as possible. */
  addUnconditionally (holder: IBudgetHolder, bytes: number): void {
    while (!this._hasRoom(holder, bytes)) {
      const victim = this._findVictim(holder)
      if (victim === undefined || victim === holder) break
      this._shed(victim)
    }
    this._change(holder, bytes)
  }

  /** Sets the bytes of a holder to a smaller number. */
  reduceTo (holder: IBudgetHolder, bytes: number): void {
    const held = this._bytesByHolder.get(holder) ?? 0
    if (held > bytes) this._change(holder, bytes - held)
  }

  release (holder: IBudgetHolder): void {
    this._usedBytes[holder.listener] -= this._bytesByHolder.get(holder) ?? 0
    this._bytesByHolder.delete(holder)
  }

  private _shed (victim: IBudgetHolder): void {
    this.release(victim)
    victim.shed()
  }

  private _change (holder: IBudgetHolder, bytes: number): void {
    this._bytesByHolder.set(holder, (this._bytesByHolder.get(holder) ?? 0) + bytes)
    this._usedBytes[holder.listener] += bytes
  }

  private _hasRoom (holder: IBudgetHolder, bytes: number): boolean {
    let limit = this.maxBytes
    if ((this._bytesByHolder.get(holder) ?? 0) + bytes > ORDINARY_BYTES) limit -= this.maxBytes * ORDINARY_RESERVED_SHARE
    let used = bytes
    for (const listener of ['front', 'peers', 'ready'] as const) {
      const reserved = listener === holder.listener ? 0 : this._reservedBytes(listener)
      used += Math.max(reserved, this._usedBytes[listener])
    }
    return used <= limit
  }

  /** Closing a client of another listener that uses no more than its reserved part would make no room. */
  private _findVictim (holder: IBudgetHolder): IBudgetHolder | undefined {
    const stalledBeforeMs = performance.now() - this.stallMs
    let stalled: IBudgetHolder | undefined
    let largest: { holder: IBudgetHolder, bytes: number } | undefined
    for (const [candidate, bytes] of this._bytesByHolder) {
      const { listener, lastProgressMs, isSheddable } = candidate
      if (!isSheddable || bytes === 0 || (listener !== holder.listener && this._usedBytes[listener] <= this._reservedBytes(listener))) continue
      if (lastProgressMs < stalledBeforeMs && lastProgressMs < (stalled?.lastProgressMs ?? Infinity)) stalled = candidate
      if (bytes > (largest?.bytes ?? 0)) largest = { holder: candidate, bytes }
    }
    return stalled ?? largest?.holder
  }

  private _reservedBytes (listener: ListenerName): number {
    return this.maxBytes * RESERVED_SHARES[listener]
  }
}
