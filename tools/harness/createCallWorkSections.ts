/** Contract sections for lookups and tickets at order-app. */
export function createCallWorkSections (lookupMs: number, ticketMs: number): string {
  return `[work.lookup]
service = order-app
kind = call
methods = GET
path = /orders
deadline_ms = ${lookupMs}
[work.ticket]
service = order-app
kind = call
methods = POST
path = /tickets
deadline_ms = ${ticketMs}
repeat = never`
}
