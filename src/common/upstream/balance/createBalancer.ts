import { ExpectedWaitBalancer } from './ExpectedWaitBalancer.js'
import type { IBalancer } from './IBalancer.js'
import type { IHash } from '../../hash/IHash.js'
import { LeastOutstandingBalancer } from './LeastOutstandingBalancer.js'
import { RandomBalancer } from './RandomBalancer.js'
import { RoundRobinBalancer } from './RoundRobinBalancer.js'

/** Creates the balancing policy of the given name. `random` returns numbers from 0 up to, not including, 1. */
export function createBalancer (name: IBalancer['name'], random: () => number, hasher: IHash): IBalancer {
  switch (name) {
    case 'random': return new RandomBalancer(random)
    case 'round-robin': return new RoundRobinBalancer()
    case 'least-outstanding': return new LeastOutstandingBalancer(random)
    case 'expected-wait': return new ExpectedWaitBalancer(random, hasher)
  }
}
