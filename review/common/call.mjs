import { request } from 'node:http'
import { readBody } from './readBody.mjs'

/** Sends a request on a channel of its own; a status of 0 means that there was no complete answer. Never rejects. */
export async function call (address, { method, path, headers, body, timeoutMs }) {
  const [hostname, port] = address.split(':')
  return await new Promise(resolve => {
    const none = error => resolve({ status: 0, headers: {}, body: '', error: error.code ?? error.message })
    const message = request({ hostname, port, method, path, headers: { connection: 'close', ...headers }, agent: false, signal: AbortSignal.timeout(timeoutMs) }, response => {
      readBody(response).then(bytes => resolve({ status: response.statusCode, headers: response.headers, body: bytes.toString() }), none)
    })
    message.on('error', none)
    message.end(body)
  })
}
