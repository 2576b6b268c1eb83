/** Version stamp of a chunk: the version that generated its tokens and the oldest one whose KV cache they attend to. */
export interface VersionStamp {
  version: number
  kv_version: number
  boot_id: string
}
