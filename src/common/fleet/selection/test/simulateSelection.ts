import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { FleetUpstream } from '../../FleetUpstream.js'
import type { SimulatedLoad } from './SimulatedLoad.js'
import type { SimulationResult } from './SimulationResult.js'
import type { UpstreamSelector } from './UpstreamSelector.js'
import { VirtualEvents } from './VirtualEvents.js'

const HOP_MS = 1
const QUEUE_LIMIT = 4
const MAX_ATTEMPTS = 4
const SLOWDOWN_PERIOD_MS = 150
const SLOWDOWN_SHARE = 0.15
const HINT_PERIOD_MS = 200

interface Server { running: number, queue: Array<() => void>, slowdownFactor: number, busyMs: number, reserved: number }
interface SimulatedCall { decider: number, tried: Set<number>, startedAtMs: number }

/** Runs a selection alone in virtual time, with deciders that learn from responses only and servers with slots and a short queue. */
export function simulateSelection (load: SimulatedLoad, select: UpstreamSelector, seed = 1): SimulationResult {
  return new Simulation(load, select, seed).run()
}

class Simulation {
  private readonly _events = new VirtualEvents()
  // Arrivals and servers draw from sources of their own, so that all selections meet the same load.
  private readonly _random: () => number
  private readonly _randomOfArrivals: () => number
  private readonly _randomOfServers: () => number
  private readonly _servers: Server[]
  private readonly _deciders: FleetUpstream[][]
  private _hints: number[] = []
  private readonly _latenciesMs: number[] = []
  private readonly _counts = { calls: 0, rejectedFirst: 0, failed: 0 }

  constructor (private readonly _load: SimulatedLoad, private readonly _select: UpstreamSelector, seed: number) {
    this._random = createRandom(seed)
    this._randomOfArrivals = createRandom(seed + 1000)
    this._randomOfServers = createRandom(seed + 2000)
    this._servers = _load.speeds.map(() => ({ running: 0, queue: [], slowdownFactor: 1, busyMs: 0, reserved: 0 }))
    this._deciders = Array.from({ length: _load.deciders }, () => _load.speeds.map((_, index) =>
      new FleetUpstream({ id: String(index), startedAtMs: 0, service: 's', address: '', failureDomain: 'd', slots: _load.slots, isDraining: false, versions: new Map() }, () => this._events.nowMs)))
  }

  run (): SimulationResult {
    this._events.repeat(SLOWDOWN_PERIOD_MS, () => {
      for (const server of this._servers) server.slowdownFactor = this._randomOfServers() < SLOWDOWN_SHARE ? 2 : 1
    })
    this._events.repeat(HINT_PERIOD_MS, () => {
      this._hints = this._servers.map((_, index) => this._deciders.reduce((sum, upstreams) => sum + upstreams[index]!.outstanding, 0))
    })
    this._arrive()
    this._events.runUntil(this._load.durationMs + 2000)
    const sorted = this._latenciesMs.sort((a, b) => a - b)
    const busyMs = this._servers.map(server => server.busyMs)
    return {
      busiestToMean: Math.max(...busyMs) * busyMs.length / busyMs.reduce((sum, each) => sum + each, 0),
      p50Ms: sorted[Math.floor(sorted.length * 0.5)] ?? 0,
      p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      rejectedFirstShare: this._counts.rejectedFirst / this._counts.calls,
      failedShare: this._counts.failed / this._counts.calls
    }
  }

  private _arrive (): void {
    const { burst, callsPerS, deciders, durationMs } = this._load
    if (this._events.nowMs >= durationMs) return
    for (let index = 0; index < burst; index++) {
      const call = { decider: Math.floor(this._randomOfArrivals() * deciders), tried: new Set<number>(), startedAtMs: this._events.nowMs }
      this._count('calls', call)
      this._attempt(call)
    }
    this._events.after(-Math.log(1 - this._randomOfArrivals()) * 1000 * burst / callsPerS, () => this._arrive())
  }

  private _count (name: keyof typeof this._counts, call: SimulatedCall): void {
    if (call.startedAtMs >= this._load.measureFromMs) this._counts[name] += 1
  }

  private _attempt (call: SimulatedCall): void {
    const { nowMs } = this._events
    const candidates = this._deciders[call.decider]!.filter((_, index) => !call.tried.has(index))
    const context = { nowMs, random: this._random, deciders: this._load.deciders, hints: this._hints, reserved: this._servers.map(server => server.reserved) }
    const chosen = call.tried.size < MAX_ATTEMPTS ? this._select(candidates, context) : undefined
    if (chosen === undefined) {
      this._count('failed', call)
      return
    }
    const index = Number(chosen.member.id)
    call.tried.add(index)
    chosen.outstanding += 1
    this._servers[index]!.reserved += 1
    this._events.after(HOP_MS, () => this._receive(call, chosen, index, nowMs))
  }

  private _receive (call: SimulatedCall, upstream: FleetUpstream, index: number, sentAtMs: number): void {
    const server = this._servers[index]!
    const { slots, isReachable } = this._load
    if (!isReachable(index, call.decider, this._events.nowMs)) {
      this._respond(upstream, server, 'unreachable', () => {
        upstream.recordFailure()
        this._attempt(call)
      })
    } else if (server.running >= slots && server.queue.length >= QUEUE_LIMIT) {
      if (call.tried.size === 1) this._count('rejectedFirst', call)
      this._respond(upstream, server, 'rejected', () => this._attempt(call))
    } else {
      const start = (): void => this._work(index, () => this._respond(upstream, server, 'done', () => {
        upstream.recordResponseTime(this._events.nowMs - sentAtMs)
        if (call.startedAtMs >= this._load.measureFromMs) this._latenciesMs.push(this._events.nowMs - call.startedAtMs)
      }))
      if (server.running < slots) start()
      else server.queue.push(start)
    }
  }

  private _work (index: number, onDone: () => void): void {
    const server = this._servers[index]!
    const { workMs, speeds, slots, measureFromMs } = this._load
    const nearlyFullFactor = 1 + Math.max(0, (server.running + 1) / slots - 0.7)
    const durationMs = workMs * (0.5 + this._randomOfServers()) / speeds[index]!(this._events.nowMs) * server.slowdownFactor * nearlyFullFactor
    server.running += 1
    if (this._events.nowMs >= measureFromMs) server.busyMs += durationMs
    this._events.after(durationMs, () => {
      server.running -= 1
      onDone()
      server.queue.shift()?.()
    })
  }

  /** The load reading counts from `figureAgeMs` after the response. */
  private _respond (upstream: FleetUpstream, server: Server, kind: 'done' | 'rejected' | 'unreachable', onResponded: () => void): void {
    const ownCount = kind === 'done' && this._load.countsOwnRequest ? 1 : 0
    const reading = { running: server.running + ownCount, waiting: server.queue.length, slots: this._load.slots, slowdownFactor: server.slowdownFactor }
    const atMs = this._events.nowMs
    server.reserved -= 1
    this._events.after(HOP_MS, () => {
      upstream.outstanding -= 1
      onResponded()
    })
    if (kind !== 'unreachable') this._events.after(HOP_MS + this._load.figureAgeMs, () => upstream.recordLoad(reading, atMs))
  }
}

function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
