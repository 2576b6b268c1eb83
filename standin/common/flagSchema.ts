import { z } from 'zod'

/** Option whose value is a boolean, given as `--name true` or `--name false`. */
export const flagSchema = z.union([z.boolean(), z.stringbool()])
