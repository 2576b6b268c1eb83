import type { EntrySettings } from '../../../common/settings/EntrySettings.js'
import { readEntrySettings } from '../../../common/settings/readEntrySettings.js'

/** Settings of an entry on free loopback ports with an unreachable platform. `timing` holds the lines of that section. */
export function createTestSettings (timing: string): EntrySettings {
  return readEntrySettings(`[entry]
id = entry-1
failure_domain = steam-hall
listen = 127.0.0.1:0
peer = 127.0.0.1:0
rpc = 127.0.0.1:0
peer_key = 0123456789abcdef
[platform]
log = 127.0.0.1:1
membership = 127.0.0.1:1
[timing]
${timing}
`)._unsafeUnwrap()
}
