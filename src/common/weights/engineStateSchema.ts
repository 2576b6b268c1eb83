import { z } from 'zod'

/** State that an engine reports: versions by model, and whether it loads weights. */
export const engineStateSchema = z.object({
  boot_id: z.string(),
  versions: z.record(z.string(), z.int().min(0)).default({}),
  /** Empty, false, null or absent while the engine loads nothing. */
  loading: z.unknown(),
  fence: z.number().nullish(),
  last_error: z.unknown()
})
