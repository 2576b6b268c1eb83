import type { Context } from 'hono'
import { HTTPException } from 'hono/http-exception'
import { z } from 'zod'

/** Parses and validates a JSON request body; the response is 400 if it is malformed or does not match the schema. */
export async function parseJsonBody<T extends z.ZodType> (c: Context, schema: T): Promise<z.output<T>> {
  const body: unknown = await c.req.json().catch(() => undefined)
  const parsed = schema.safeParse(body)
  if (!parsed.success) throw new HTTPException(400, { message: z.prettifyError(parsed.error) })
  return parsed.data
}
