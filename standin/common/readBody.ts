import type { Context } from 'hono'
import { HTTPException } from 'hono/http-exception'
import { z } from 'zod'

/** Parses a JSON body by a schema; anything else is answered with 400. */
export async function readBody<T extends z.ZodType> (c: Context, schema: T): Promise<z.output<T>> {
  const body: unknown = await c.req.json().catch(() => undefined)
  const parsed = schema.safeParse(body)
  if (!parsed.success) throw new HTTPException(400, { message: z.prettifyError(parsed.error) })
  return parsed.data
}
