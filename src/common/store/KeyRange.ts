/** Range in key order; both bounds are exclusive. */
export interface KeyRange { afterKey: string, untilKey: string }
