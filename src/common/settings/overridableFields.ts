import { entrySettingsFileSchema } from './entrySettingsFileSchema.js'

const shape = entrySettingsFileSchema.shape
const SECTIONS = {
  entry: shape.entry,
  platform: shape.platform,
  timing: shape.timing.def.innerType,
  http: shape.http.def.innerType
}

/** Fields, for example `entry.listen`, that flags and environment variables may override. */
export const overridableFields: readonly string[] = Object.entries(SECTIONS)
  .flatMap(([section, schema]) => Object.keys(schema.shape).map(key => `${section}.${key}`))
