/** Returns true when the connection could not be established, so that no byte of the request was sent. */
export function isConnectError (error: unknown): boolean {
  const { code, syscall } = error as { code?: string, syscall?: string }
  // Other codes, such as EHOSTUNREACH, also occur on established connections.
  return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect'
}
