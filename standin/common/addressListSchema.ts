import { z } from 'zod'

/** Option whose value is a comma-separated list of `ip:port`. */
export const addressListSchema = z.string().default('').transform(text => text.split(',').filter(item => item !== ''))
