import { connect, createServer } from 'node:net'

/**
 * The network path between callers and one server. While it is cut, bytes of the connections that were open before are
 * held up, as the sender's system does when it gets no acknowledgements; they are lost if the sender resets the connection.
 * What comes on connections that were opened during the cut is lost, since these could not have been opened.
 */
export class Link {
  _connections = new Set()
  isCut = false

  constructor (serverAddress) { this._serverPort = Number(serverAddress.split(':')[1]) }

  async listen () {
    this._server = createServer({ allowHalfOpen: true }, client => this._accept(client))
    await new Promise(resolve => this._server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this._server.address().port}`
  }

  /** Cuts the path for all connections that are open, silently. */
  cut () {
    this.isCut = true
    for (const connection of this._connections) connection.isCut = true
  }

  /** The path is whole again. The senders' systems send what they hold after their next retransmission time-out. */
  heal (retransmissionMs) {
    this.isCut = false
    const held = [...this._connections].filter(({ isCut }) => isCut)
    setTimeout(() => { for (const connection of held) release(connection) }, retransmissionMs)
  }

  dispose () {
    this._server.close()
    for (const { client, server } of this._connections) {
      client.destroy()
      server.destroy()
    }
  }

  _accept (client) {
    const server = connect({ port: this._serverPort, host: '127.0.0.1', allowHalfOpen: true })
    const connection = { client, server, isCut: this.isCut, isOpenedInCut: this.isCut, isReset: false, held: [] }
    this._connections.add(connection)
    pass(connection, client, server)
    pass(connection, server, client)
    server.on('error', () => client.destroy())
    client.on('error', () => {
      connection.isReset = true
      if (!connection.isCut) server.resetAndDestroy()
    })
    server.on('close', () => this._connections.delete(connection))
  }
}

function pass (connection, from, to) {
  const forward = action => {
    if (connection.isCut) connection.held.push(action)
    else action()
  }
  from.on('data', chunk => forward(() => { if (!to.destroyed) to.write(chunk) }))
  from.on('end', () => forward(() => { if (!to.destroyed) to.end() }))
}

function release (connection) {
  connection.isCut = false
  if (connection.isReset || connection.isOpenedInCut) {
    connection.server.destroy()
    return
  }
  for (const action of connection.held.splice(0)) action()
}
