import { createServiceId } from '../kernel/createServiceId.js'
import type { EntrySettings } from './EntrySettings.js'

/** Identifier of the settings of the entry. */
export const entrySettingsId = createServiceId<EntrySettings>('entrySettings')
