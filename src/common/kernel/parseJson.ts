/** Parses JSON from UTF-8 bytes; undefined, which no schema accepts, if there are none or they are malformed. */
export function parseJson (bytes: Uint8Array | undefined): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
