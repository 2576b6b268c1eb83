/** Contract sections (INI) of the work classes for lookups and tickets on the service `order-app`. */
export function createCallWorkSections (lookupDeadlineMs: number, ticketDeadlineMs: number): string {
  return `[work.lookup]
service = order-app
kind = call
methods = GET
path = /orders
deadline_ms = ${lookupDeadlineMs}
[work.ticket]
service = order-app
kind = call
methods = POST
path = /tickets
deadline_ms = ${ticketDeadlineMs}
repeat = never`
}
