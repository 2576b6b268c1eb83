import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createServiceId } from './createServiceId.js'
import { ServiceRegistry } from './ServiceRegistry.js'

interface IGreeter { greet (): string }
const greeterId = createServiceId<IGreeter>('greeter')

class Door {
  constructor (readonly label: string, @greeterId readonly greeter: IGreeter) {}
}

describe('ServiceRegistry', () => {
  it('injects services by name after the leading arguments', () => {
    const registry = new ServiceRegistry()
    registry.register(greeterId, { greet: () => 'hello' })
    const door = registry.create(Door, 'front')
    expect(door.label).toEqual('front')
    expect(door.greeter.greet()).toEqual('hello')
  })

  it('rejects an unknown service and a second registration of a name', () => {
    const registry = new ServiceRegistry()
    expect(() => registry.create(Door, 'front')).toThrow('service greeter is not registered')
    registry.register(greeterId, { greet: () => 'hello' })
    expect(() => registry.register(greeterId, { greet: () => 'again' })).toThrow('service greeter is already registered')
  })

  it('disposes services in reverse order of registration', () => {
    const order: string[] = []
    class First { dispose (): void { order.push('first') } }
    class Second { dispose (): void { order.push('second') } }
    const registry = new ServiceRegistry()
    registry.registerClass(createServiceId<First>('first'), First)
    registry.registerClass(createServiceId<Second>('second'), Second)
    registry.dispose()
    expect(order).toEqual(['second', 'first'])
  })
})
