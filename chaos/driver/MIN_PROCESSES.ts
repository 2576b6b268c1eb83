/** Processes of the smallest run: 12 entries, 12 upstreams, 5 stand-ins of the platform and 3 trainers. */
export const MIN_PROCESSES = 32
