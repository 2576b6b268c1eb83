import { createHash } from 'node:crypto'
import { okAsync } from 'neverthrow'
import type { ContractRevision } from '../../../common/contract/ContractRevision.js'
import type { CallRequest } from '../../../common/forward/CallRequest.js'
import { Metrics } from '../../../common/metrics/Metrics.js'
import { contractSchema } from '../../../common/schema/contractSchema.js'
import type { EntrySettings } from '../../../common/settings/EntrySettings.js'
import { readIni } from '../../../common/settings/readIni.js'
import { Authenticator } from '../Authenticator.js'
import { GenerationRoutes } from '../routes/GenerationRoutes.js'
import { HealthRoutes } from '../routes/HealthRoutes.js'
import { HttpServer } from '../HttpServer.js'
import { OperatorRoutes } from '../routes/OperatorRoutes.js'
import { Readiness } from '../Readiness.js'
import { ServiceRoutes } from '../routes/ServiceRoutes.js'
import { StatusReport } from '../StatusReport.js'
import { TrainerRoutes } from '../routes/TrainerRoutes.js'

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')

const contractText = (organisation: string): string => `[contract]
organisation = ${organisation}
operator = mei
[access]
token_sha256 = ${sha256(`${organisation}-token`)}
[limits]
[work.lookup]
service = order-app
kind = call
methods = GET, POST
path = /orders
deadline_ms = 800
[work.ticket]
service = order-app
kind = call
methods = POST
path = /orders/tickets
deadline_ms = 2000
repeat = never
[work.advice]
service = shaping-llm
kind = generation
deadline_ms = 5000
max_tokens = 100
[work.essay]
service = shaping-llm
kind = generation
deadline_ms = 60000
max_tokens = 1000
size = long
trainer = brim
[trainer.brim]
service = shaping-llm
staleness_versions = 1
step_deadline_s = 120
weights_every_s = 240
`

/** HTTP interface on a loopback port, with replaceable fakes of the services behind it. */
export class HttpTestFixture {
  readonly logLines: Array<Record<string, unknown>> = []
  readonly metrics = new Metrics()
  readonly contracts: ContractRevision[] = ['lin-shun', 'almaskert'].map(organisation => ({
    organisation, revision: 3, operator: 'mei', atMs: 1, text: contractText(organisation), contract: readIni(contractText(organisation), contractSchema)._unsafeUnwrap()
  }))

  isDraining = false
  isCurrent = true
  forward: (request: CallRequest) => any = () => okAsync({ status: 200, headers: {}, body: new Uint8Array() })
  generate: (request: any) => AsyncIterable<any> = async function * () {}
  training: Record<string, (...args: any[]) => any> = {}
  publish: (...args: any[]) => any = () => okAsync(this.contracts[0])
  url = ''
  readonly server: HttpServer

  constructor (overrides: Partial<EntrySettings> = {}) {
    const settings: any = {
      id: 'entry-1',
      failureDomain: 'steam-hall',
      listenAddress: '127.0.0.1:0',
      services: [{ name: 'order-app' }],
      operatorsByTokenDigest: new Map([[sha256('operator-token'), 'mei'], [sha256('second-token'), 'lee']]),
      maxBodyBytes: 4096,
      maxHeaderBytes: 4096,
      maxConnections: 50,
      memoryMb: 300,
      idleTimeoutMs: 1000,
      maxStreamMs: 60_000,
      ...overrides
    }
    const logger: any = { info: (fields: object, event: string) => this.logLines.push({ ...fields, event }), warn () {}, error: (fields: object, event: string) => this.logLines.push({ ...fields, event }), debug () {} }
    const store: any = {
      all: () => this.contracts,
      current: (organisation: string) => this.contracts.find(item => item.organisation === organisation),
      history: (organisation: string) => this.contracts.filter(item => item.organisation === organisation),
      findByTokenDigest: (digest: string) => this.contracts.find(item => item.contract.access.token_sha256.includes(digest))
    }
    const isDraining = (): boolean => this.isDraining
    const isCurrent = (): boolean => this.isCurrent
    const peers: any = { get isDraining () { return isDraining() }, incarnation: 'a', all: () => [] }
    const readiness = new Readiness(store, { get isCurrent () { return isCurrent() }, fetchFrom () {} }, peers)
    const authenticator = new Authenticator(store, settings)
    const status = new StatusReport(settings, readiness, store, peers, { all: () => [] } as any,
      { status: () => ({ nextOffset: 5, isCaughtUp: true, isFailing: false }) } as any, { queued: () => 0 } as any)
    const training = new Proxy({}, { get: (_target, name: string) => (...args: any[]) => this.training[name]?.(...args) })
    this.server = new HttpServer([
      new HealthRoutes(readiness, this.metrics),
      new GenerationRoutes(authenticator, { generate: request => this.generate(request) }, settings),
      new ServiceRoutes(authenticator, { forward: request => this.forward(request) }),
      new TrainerRoutes(authenticator, training as any, peers),
      new OperatorRoutes(authenticator, store, { publish: (...args) => this.publish(...args) }, (before, after) => [{ field: 'limits.share', before: before?.limits.share, after: after.limits.share }], status, logger)
    ], settings, peers, this.metrics, logger)
  }

  async start (): Promise<this> {
    this.url = `http://${await this.server.start()}`
    return this
  }

  /** Sends a request with the token of lin-shun; a `body` that is neither bytes nor a string is sent as JSON. */
  async send (method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<{ status: number, json: any, headers: Headers }> {
    const response = await fetch(this.url + path, {
      method,
      headers: { authorization: 'Bearer lin-shun-token', ...(body === undefined ? {} : { 'content-type': 'application/json' }), ...headers },
      body: body === undefined ? undefined : body instanceof Uint8Array || typeof body === 'string' ? body as any : JSON.stringify(body)
    })
    const text = await response.text()
    let json: any = text
    try { json = JSON.parse(text) } catch {}
    return { status: response.status, json, headers: response.headers }
  }
}
