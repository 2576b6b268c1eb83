import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Member } from '../../src/common/schema/Member.js'
import { ClusterNetwork } from './ClusterNetwork.js'
import type { ClusterOptions } from './ClusterOptions.js'
import { createEntrySettings } from './createEntrySettings.js'
import { EntryProcess } from './EntryProcess.js'
import type { ManagedProcess } from './ManagedProcess.js'
import { pickAddress } from './pickAddress.js'
import type { ProxyRoute } from './ProxyRoute.js'
import { publishContract } from './publishContract.js'
import { StandIn } from './StandIn.js'
import { bearerTokens } from './bearerTokens.js'
import { waitUntil } from './waitUntil.js'

const FAILURE_DOMAINS = ['steam-hall', 'block-room', 'dry-loft', 'finish-bay']
const LOG_LINES_IN_ERRORS = 30

type Flags = Record<string, string | number | boolean>

/**
 * Log, membership list, weight store, upstreams and entry daemons as processes on loopback addresses.
 * `dispose` ends every process; they also end with the test process.
 */
export class Cluster {
  readonly entries: EntryProcess[] = []
  readonly upstreams = new Map<string, StandIn>()
  readonly log: StandIn
  readonly membership: StandIn
  readonly weights: StandIn
  readonly proxy = new StandIn('faultproxy', 'faultproxy')
  readonly network: ClusterNetwork
  private readonly _processes: ManagedProcess[] = []
  private readonly _members = new Map<string, Member>()
  private _settingsFolder = ''
  private _incarnationCount = 0

  private constructor (readonly options: ClusterOptions) {
    this.log = new StandIn('log', 'log', options.log)
    this.membership = new StandIn('membership', 'membership', { 'lag-ms': 200, ...options.membership })
    this.weights = new StandIn('weights', 'weights', options.weights)
    this.network = new ClusterNetwork(this.proxy, options.isProxied ?? (() => false))
  }

  /** Starts all processes, publishes the contracts and resolves when every entry is ready. */
  static async start (options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options)
    try {
      await cluster.startPlatform()
      await cluster.startEntries()
      return cluster
    } catch (error) {
      await cluster.dispose()
      throw new Error(`${String(error)}\n${cluster.lastLogLines()}`, { cause: error })
    }
  }

  /** Starts all processes except the entries. */
  static async startWithoutEntries (options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options)
    try {
      await cluster.startPlatform()
      return cluster
    } catch (error) {
      await cluster.dispose()
      throw error
    }
  }

  /** The entry with the id `entry-<n>`, counted from 1; throws if there is none. */
  entry (id: string): EntryProcess {
    const entry = this.entries.find(candidate => candidate.name === id)
    if (entry === undefined) throw new Error(`no entry ${id}`)
    return entry
  }

  /** The upstream with the id `<service>-<n>`, counted from 1; throws if there is none. */
  upstream (id: string): StandIn {
    const upstream = this.upstreams.get(id)
    if (upstream === undefined) throw new Error(`no upstream ${id}`)
    return upstream
  }

  /** The fault proxy's route between two processes; throws if their connection is not proxied. */
  route (from: string, to: string): ProxyRoute {
    return this.network.route(from, to)
  }

  /** Publishes a contract text (INI) through an entry. */
  async publishContract (text: string, entry: EntryProcess = this.entries[0]!): Promise<any> {
    return await publishContract(entry.listen, text)
  }

  /** Changes fields of a member in the membership list, for example `{ state: 'leaving' }`. */
  async updateMember (id: string, change: Partial<Member>): Promise<void> {
    const member = { ...this._members.get(id)!, ...change }
    this._members.set(id, member)
    await this.membership.put(`/members/${id}`, member)
  }

  /** Waits until the process has exited and starts it again, as a new incarnation at the same address. */
  async restart (process: EntryProcess | StandIn): Promise<void> {
    await process.waitForExit()
    await process.start()
    if (this._members.has(process.name)) {
      await this.updateMember(process.name, { state: 'live', incarnation: this._createIncarnation(process.name) })
    }
  }

  /** Starts a load balancer in front of the entries; resolves with its process and `front`, the address that callers use. */
  async startBalancer (flags: Flags = {}): Promise<{ balancer: StandIn, front: string }> {
    const targets = this.entries.map(entry => entry.listen).join(',')
    const front = await pickAddress()
    const balancer = await this._start(new StandIn('balancer', 'balancer', { targets, front, 'lag-ms': 500, ...flags }))
    return { balancer, front }
  }

  /** Starts a trainer; unless the flag `addresses` is given, it connects to the entries directly. */
  async startTrainer (organisation: 'lin-shun' | 'almaskert', trainer: string, flags: Flags = {}): Promise<StandIn> {
    return await this._start(new StandIn(`trainer-${trainer}`, 'trainer', {
      organisation,
      trainer,
      token: bearerTokens[organisation],
      addresses: this.entries.map(entry => entry.listen).join(','),
      weights: this.weights.address,
      ...flags
    }))
  }

  /** Kills every process and removes the folder of the settings files. */
  async dispose (): Promise<void> {
    for (const process of this._processes) process.dispose()
    await Promise.all(this._processes.map(async process => await process.waitForExit()))
    if (this._settingsFolder !== '') await rm(this._settingsFolder, { recursive: true, force: true })
  }

  /** Last log lines of each entry, for error messages of failed tests. */
  lastLogLines (): string {
    return this.entries.map(entry => `--- ${entry.name}\n${entry.logs.slice(-LOG_LINES_IN_ERRORS).join('\n')}`).join('\n')
  }

  /** Starts the log, the membership list, the weight store, the fault proxy and the upstreams. */
  async startPlatform (): Promise<void> {
    await Promise.all([this.log, this.membership, this.weights, this.proxy].map(async process => await this._start(process)))
    await Promise.all(Object.entries(this.options.services).flatMap(([service, serviceOptions]) =>
      Array.from({ length: serviceOptions.count }, async (_, index) => await this._startUpstream(service, index))))
  }

  /** Starts the entries, publishes the contracts and resolves when every entry is ready. */
  async startEntries (): Promise<void> {
    this._settingsFolder = await mkdtemp(join(tmpdir(), 'hyssopvalve-'))
    for (let index = 0; index < this.options.entries; index++) await this._addEntry(index)
    for (const entry of this.entries) await this._writeSettings(entry)
    await Promise.all(this.entries.map(async entry => await this._start(entry)))
    for (const text of this.options.contracts) await this.publishContract(text)
    await Promise.all(this.entries.map(async entry =>
      await waitUntil(`${entry.name} is ready`, async () => await entry.fetchReadinessStatus() === 200)))
  }

  private async _start<T extends ManagedProcess> (process: T): Promise<T> {
    this._processes.push(process)
    await process.start()
    return process
  }

  private async _startUpstream (service: string, index: number): Promise<void> {
    const serviceOptions = this.options.services[service]!
    const id = `${service}-${index + 1}`
    const flags = serviceOptions.flags?.(index) ?? {}
    const process = serviceOptions.kind === 'plain'
      ? new StandIn(id, 'service', { id, ...flags })
      : new StandIn(id, 'engine', {
        model: service,
        weights: await this.network.resolveAddress(id, 'weights', this.weights.address),
        'check-fence': serviceOptions.checksFence ?? true,
        ...flags
      })
    await this._start(process)
    this.upstreams.set(id, process)
    await this._register({ id, role: 'upstream', service, address: process.address, failure_domain: this._getFailureDomain(index) })
  }

  private async _addEntry (index: number): Promise<void> {
    const id = `entry-${index + 1}`
    const [listen, peer, rpc] = [await pickAddress(), await pickAddress(), await pickAddress()]
    this.entries.push(new EntryProcess(id, this._getFailureDomain(index), listen, peer, rpc, join(this._settingsFolder, `${id}.ini`), this.options.nodeOptions))
    const failureDomain = { failure_domain: this._getFailureDomain(index) }
    await this._register({ id, role: 'entry', address: listen, peer_address: peer, rpc_address: rpc, ...failureDomain })
  }

  /**
   * Writes an entry's settings file, and its view of the membership list, with the addresses that this entry uses:
   * the fault proxy's for proxied connections.
   */
  private async _writeSettings (entry: EntryProcess): Promise<void> {
    const addressesById: Record<string, { address?: string, peer_address?: string, rpc_address?: string }> = {}
    for (const [id, process] of this.upstreams) {
      addressesById[id] = { address: await this.network.resolveAddress(entry.name, id, process.address) }
    }
    for (const peer of this.entries.filter(other => other !== entry)) {
      addressesById[peer.name] = {
        peer_address: await this.network.resolveAddress(entry.name, peer.name, peer.peer, 'udp'),
        rpc_address: await this.network.resolveAddress(entry.name, peer.name, peer.rpc)
      }
    }
    const { address: membership } = await this.membership.put(`/views/${entry.name}`, { addresses: addressesById })
    const services = Object.entries(this.options.services).map(([name, serviceOptions]) => {
      const addresses = Array.from({ length: serviceOptions.count }, (_, index) => addressesById[`${name}-${index + 1}`]!.address!)
      return [name, { ...serviceOptions, addresses }]
    })
    await writeFile(entry.configFile, createEntrySettings({
      id: entry.name,
      failureDomain: entry.failureDomain,
      listen: entry.listen,
      peer: entry.peer,
      rpc: entry.rpc,
      log: await this.network.resolveAddress(entry.name, 'log', this.log.address),
      membership: await this.network.resolveAddress(entry.name, 'membership', membership),
      services: Object.fromEntries(services),
      timing: this.options.timing ?? {},
      http: this.options.http ?? {}
    }))
  }

  private async _register (member: Omit<Member, 'state' | 'incarnation'>): Promise<void> {
    this._members.set(member.id, { ...member, state: 'live', incarnation: this._createIncarnation(member.id) })
    await this.updateMember(member.id, {})
  }

  private _createIncarnation (id: string): string {
    this._incarnationCount++
    return `${id}-run-${this._incarnationCount}`
  }

  private _getFailureDomain (index: number): string {
    const domains = this.options.failureDomains ?? FAILURE_DOMAINS
    return domains[index % domains.length]!
  }
}
