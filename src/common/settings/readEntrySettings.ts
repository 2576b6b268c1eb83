import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { entrySettingsFileSchema } from './entrySettingsFileSchema.js'
import type { EntrySettings } from './EntrySettings.js'
import type { EntrySettingsOptions } from './EntrySettingsOptions.js'
import type { IniError } from './IniError.js'
import { IniLineIndex } from './IniLineIndex.js'
import type { IniOverride } from './IniOverride.js'
import { readIni } from './readIni.js'

type SettingsFile = z.output<typeof entrySettingsFileSchema>

const KEY_FIELD = 'entry.peer_key'
const KEY_FILE_FIELD = 'entry.peer_key_file'
const MIN_PEER_KEY_LENGTH = 16

/** Parses and validates the settings of an entry daemon; returns all errors with line, field and rule. */
export function readEntrySettings (text: string, options: EntrySettingsOptions = {}): Result<EntrySettings, IniError[]> {
  const overrides = options.overrides ?? []
  return readIni(text, entrySettingsFileSchema, overrides).andThen(file => {
    const duplicate = findDuplicateDigest(file)
    if (duplicate !== undefined) {
      return err([createError(text, `operators.${duplicate}`, 'must differ from the tokens of other operators', overrides)])
    }
    return readPeerKey(file, options)
      .mapErr(rule => [createError(text, KEY_FILE_FIELD, rule, overrides)])
      .map(peerKey => toSettings(file, peerKey))
  })
}

function findDuplicateDigest (file: SettingsFile): string | undefined {
  const seenDigests = new Set<string>()
  for (const [name, digest] of Object.entries(file.operators)) {
    if (seenDigests.has(digest)) return name
    seenDigests.add(digest)
  }
  return undefined
}

function readPeerKey (file: SettingsFile, options: EntrySettingsOptions): Result<string, string> {
  const { peer_key: key, peer_key_file: path } = file.entry
  if (key !== undefined) return ok(key)
  if (path === undefined || options.readKeyFile === undefined) return err('cannot be read: no reader for key files is available')
  return options.readKeyFile(path).map(content => content.trim()).andThen(content =>
    content.length < MIN_PEER_KEY_LENGTH ? err(`must hold at least ${MIN_PEER_KEY_LENGTH} characters`) : ok(content))
}

function createError (text: string, field: string, rule: string, overrides: readonly IniOverride[]): IniError {
  const error = { line: new IniLineIndex(text).findLine(field.split('.')), field, rule }
  const source = overrides.find(override => override.field === field || override.field === KEY_FIELD)?.source
  return source === undefined ? error : { ...error, source }
}

function toSettings (file: SettingsFile, peerKey: string): EntrySettings {
  const { entry, platform, timing, http } = file
  return {
    id: entry.id,
    failureDomain: entry.failure_domain,
    listenAddress: entry.listen,
    peerAddress: entry.peer,
    rpcAddress: entry.rpc,
    peerKey,
    logAddress: platform.log,
    membershipAddress: platform.membership,
    services: Object.entries(file.service).map(([name, service]) => ({
      name,
      kind: service.kind,
      checksFence: service.checks_fence,
      orderAddresses: service.order_addresses,
      swapParallel: service.swap_parallel,
      balancer: service.balancer,
      admission: service.admission,
      hedging: service.hedging,
      swapOrder: service.swap_order
    })),
    operatorsByTokenDigest: new Map(Object.entries(file.operators).map(([name, digest]) => [digest, name])),
    appendIntervalMs: timing.append_interval_ms,
    leaseMs: timing.lease_ms,
    leaseGuardMs: timing.lease_guard_ms,
    retentionMs: timing.retention_ms,
    membershipPollMs: timing.membership_poll_ms,
    loadPollMs: timing.load_poll_ms,
    gossipIntervalMs: timing.gossip_interval_ms,
    heartbeatTimeoutMs: timing.heartbeat_timeout_ms,
    drainNoticeMs: timing.drain_notice_ms,
    drainLimitMs: timing.drain_limit_ms,
    maxBodyBytes: http.max_body_bytes,
    maxHeaderBytes: http.max_header_bytes,
    maxConnections: http.max_connections,
    memoryMb: http.memory_mb,
    idleTimeoutMs: http.idle_timeout_ms,
    maxStreamMs: http.max_stream_ms
  }
}
