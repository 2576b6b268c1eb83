import { gossipId } from '../../common/peer/gossipId.js'
import { contractSyncId } from '../../common/peer/contractSyncId.js'
import { ContractSync } from '../../common/peer/ContractSync.js'
import { Gossip } from '../../common/peer/Gossip.js'
import { PeerTable } from '../../common/peer/PeerTable.js'
import { peerClientId } from '../../common/peer/peerClientId.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'
import { peerSocketId } from '../../common/peer/peerSocketId.js'
import { peerTableId } from '../../common/peer/peerTableId.js'
import { Disposable } from '../../common/kernel/Disposable.js'
import { ServiceRegistry } from '../../common/kernel/ServiceRegistry.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import { Metrics } from '../../common/metrics/Metrics.js'
import { metricsId } from '../../common/metrics/metricsId.js'
import { metricsSourceId } from '../../common/metrics/metricsSourceId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { Authenticator } from '../http/Authenticator.js'
import { authenticatorId } from '../http/authenticatorId.js'
import { GenerationRoutes } from '../http/routes/GenerationRoutes.js'
import { HealthRoutes } from '../http/routes/HealthRoutes.js'
import { HttpServer } from '../http/HttpServer.js'
import { httpServerId } from '../http/httpServerId.js'
import { OperatorRoutes } from '../http/routes/OperatorRoutes.js'
import { Readiness } from '../http/Readiness.js'
import { readinessId } from '../http/readinessId.js'
import { ServiceRoutes } from '../http/routes/ServiceRoutes.js'
import { StatusReport } from '../http/StatusReport.js'
import { statusReportId } from '../http/statusReportId.js'
import { TrainerRoutes } from '../http/routes/TrainerRoutes.js'
import { PeerClient } from '../peer/PeerClient.js'
import { PeerServer } from '../peer/PeerServer.js'
import { UdpPeerSocket } from '../peer/UdpPeerSocket.js'
import { Drain } from './Drain.js'
import type { IStartable } from './IStartable.js'
import type { ServiceRegistration } from './ServiceRegistration.js'

/** The entry daemon: creates all services, starts them in order and stops them without aborting requests. */
export class Entry extends Disposable {
  private readonly _registry = this._register(new ServiceRegistry())
  private readonly _startOrder: IStartable[]
  private readonly _server: HttpServer
  private readonly _drain: Drain

  /** `registerServices` registers the services that this constructor does not register itself. */
  constructor (settings: EntrySettings, logger: ILogger, registerServices: ServiceRegistration) {
    super()
    const registry = this._registry
    registry.register(entrySettingsId, settings)
    registry.register(loggerId, logger)
    const metrics = registry.registerClass(metricsId, Metrics) as Metrics
    registry.register(metricsSourceId, metrics)
    const peers = registry.registerClass(peerRegistryId, PeerTable) as PeerTable
    registry.register(peerTableId, peers)
    const socket = registry.registerClass(peerSocketId, UdpPeerSocket) as UdpPeerSocket
    registry.registerClass(peerClientId, PeerClient)
    const services = registerServices(registry)
    const sync = registry.registerClass(contractSyncId, ContractSync) as ContractSync
    const gossip = registry.registerClass(gossipId, Gossip) as Gossip
    const peerServer = this._register(registry.create(PeerServer))
    this._server = this._registerHttp()
    this._drain = registry.create(Drain, services.inFlight)
    // The sockets start first, so that an address in use fails the start before anything is sent.
    this._startOrder = [socket, peerServer, metrics, peers, ...services.startOrder, sync, gossip]
  }

  /** Starts all services and returns the `ip:port` of the HTTP listener. Rejects when an address is in use. */
  async start (): Promise<string> {
    for (const service of this._startOrder) await service.start()
    return await this._server.start()
  }

  /** Performs the planned stop. Resolves with true when no work was aborted. The entry must be disposed afterwards. */
  async drain (): Promise<boolean> {
    return await this._drain.run()
  }

  private _registerHttp (): HttpServer {
    const registry = this._registry
    registry.registerClass(authenticatorId, Authenticator)
    registry.registerClass(readinessId, Readiness)
    registry.registerClass(statusReportId, StatusReport)
    const routes = [HealthRoutes, GenerationRoutes, ServiceRoutes, TrainerRoutes, OperatorRoutes].map(route => registry.create<any>(route))
    return registry.registerClass(httpServerId, HttpServer, routes) as HttpServer
  }
}
