import { buildConnector } from 'undici'

/** Code of the error that stands for ECONNRESET. */
const RESET_CODE = 'ERR_UPSTREAM_RESET'

/**
 * A connector whose sockets report a reset under another code. undici takes ECONNRESET for the regular end
 * of an answer that is delimited by its connection, and such an answer is not whole.
 */
export function createResetMarkingConnector (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result
      socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') error.code = RESET_CODE
      })
      callback(...result)
    })
  }
}
