/** Stamp of a chunk: the version that produced its tokens and the oldest one whose KV cache they use. */
export interface VersionStamp {
  version: number
  kv_version: number
  boot_id: string
}
