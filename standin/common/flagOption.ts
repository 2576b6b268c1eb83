import { z } from 'zod'

/** Option for a flag that is given as `--name true` or `--name false`. */
export const flagOption = z.union([z.boolean(), z.stringbool()])
