import { entrySettingsFileSchema } from './entrySettingsFileSchema.js'

const shape = entrySettingsFileSchema.shape
const SECTIONS = {
  entry: shape.entry,
  platform: shape.platform,
  timing: shape.timing.def.innerType,
  http: shape.http.def.innerType
}

/** Fields such as `entry.listen` that flags and environment variables may set. */
export const overridableFields: readonly string[] = Object.entries(SECTIONS)
  .flatMap(([section, schema]) => Object.keys(schema.shape).map(key => `${section}.${key}`))
