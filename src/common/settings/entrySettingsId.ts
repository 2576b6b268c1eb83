import { createServiceId } from '../kernel/createServiceId.js'
import type { EntrySettings } from './EntrySettings.js'

/** Identifier of the entry's settings. */
export const entrySettingsId = createServiceId<EntrySettings>('entrySettings')
