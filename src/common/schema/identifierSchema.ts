import { z } from 'zod'

/** Name of an organisation, service, trainer, host or work class: lower-case letters, digits and hyphens. */
export const identifierSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits or hyphens')
