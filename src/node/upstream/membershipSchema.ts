import { z } from 'zod'

/** Schema of the membership list. Members are validated one by one, so that an invalid one does not invalidate the list. */
export const membershipSchema = z.object({ members: z.array(z.unknown()) })
