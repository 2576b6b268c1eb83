import { z } from 'zod'

/** The membership list; its members are checked one by one, so that one faulty record does not hide the others. */
export const membershipSchema = z.object({ members: z.array(z.unknown()) })
