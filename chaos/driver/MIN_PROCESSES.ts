/** Number of processes in the smallest run: 12 entries, 12 upstreams, 5 platform stand-ins and 3 trainers. */
export const MIN_PROCESSES = 32
