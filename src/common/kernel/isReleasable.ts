/** Whether `releaseBytes` frees the memory of these bytes. */
export function isReleasable (bytes: Uint8Array): boolean {
  return (bytes.buffer as { resizable?: boolean }).resizable === true
}
