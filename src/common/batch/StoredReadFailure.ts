/** Why a request for a batch could not be answered from the store. */
export interface StoredReadFailure {
  /**
   * - `queue_full`: too many other requests wait.
   * - `spec_missing`: the batch does not exist, or its records could not be read; the store does not tell which.
   * - `results_uncertain`: a leader may list another result at the position.
   */
  reason: 'queue_full' | 'deadline_passed' | 'store_failed' | 'fault' | 'other_organisation' | 'spec_missing' | 'results_uncertain' | 'joined_too_early' | 'text_missing' | 'items_missing'
  message?: string
}
