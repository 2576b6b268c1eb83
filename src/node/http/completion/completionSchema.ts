import { z } from 'zod'
import { commonFieldsSchema } from './commonFieldsSchema.js'
import { samplingSchema } from './samplingSchema.js'

/** Body of `POST /v1/completions`. */
export const completionSchema = z.strictObject({
  ...commonFieldsSchema.shape,
  ...samplingSchema.shape,
  prompt: z.string().min(1)
})
