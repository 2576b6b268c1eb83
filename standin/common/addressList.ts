import { z } from 'zod'

/** Option for a comma-separated list of `ip:port`. */
export const addressList = z.string().default('').transform(text => text.split(',').filter(item => item !== ''))
