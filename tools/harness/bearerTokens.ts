/** Bearer tokens of the example contracts and of the harness's operators. Callers and trainers share one. */
export const bearerTokens = {
  'lin-shun': 'lin-shun-caller-token',
  almaskert: 'almaskert-caller-token',
  /** Operators named in the entries' settings. */
  operators: { mei: 'operator-mei-token', ilona: 'operator-ilona-token' }
}
