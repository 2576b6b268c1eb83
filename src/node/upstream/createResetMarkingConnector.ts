import { buildConnector } from 'undici'

/** Error code that replaces ECONNRESET. */
const RESET_ERROR_CODE = 'ERR_UPSTREAM_RESET'

/**
 * Creates a connector whose sockets report a connection reset with a different error code. undici treats
 * ECONNRESET as the regular end of a response delimited by its connection, although such a response is truncated.
 */
export function createResetMarkingConnector (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result
      socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') error.code = RESET_ERROR_CODE
      })
      callback(...result)
    })
  }
}
