import { z } from 'zod'

const orderFields = { order_id: z.string().min(1), fence: z.int() }
const modelValue = z.object({ model: z.string() })

/** Orders that an engine accepts. */
export const orderSchema = z.discriminatedUnion('kind', [
  z.object({ ...orderFields, kind: z.literal('load_version'), value: modelValue.extend({ version: z.int().min(0) }) }),
  z.object({ ...orderFields, kind: z.literal('load_model'), value: modelValue }),
  z.object({ ...orderFields, kind: z.literal('load_adapter'), value: modelValue }),
  z.object({ ...orderFields, kind: z.literal('set_role'), value: z.object({ role: z.string() }) })
])
