import { z } from 'zod'

/** Schema of the state that an engine reports: weight version by model, and whether it is loading weights. */
export const engineStateSchema = z.object({
  boot_id: z.string(),
  versions: z.record(z.string(), z.int().min(0)).default({}),
  /** Empty, false, null or absent while the engine is not loading. */
  loading: z.unknown(),
  fence: z.number().nullish(),
  last_error: z.unknown()
})
