/** Formats a response without a body, after which the connection is closed; `statusLine` is the status with its phrase. */
export function formatEmptyResponse (statusLine: string): string {
  return `HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
}
