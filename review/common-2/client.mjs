import { request } from 'node:http'

/** Sends a request on a connection of its own; `status` 0 means no complete response. Never rejects. */
export async function send (address, { method = 'GET', path, host, headers = {}, body, timeoutMs = 5000 }) {
  const [hostname, port] = address.split(':')
  return await new Promise(resolve => {
    const none = { status: 0, headers: {}, body: Buffer.alloc(0) }
    const message = request({ hostname, port, method, path, headers: { host, connection: 'close', ...body !== undefined && { 'content-length': Buffer.byteLength(body) }, ...headers }, agent: false, signal: AbortSignal.timeout(timeoutMs) }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) }))
      response.on('error', () => resolve(none))
    })
    message.on('error', () => resolve(none))
    message.end(body)
  })
}

export const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))
