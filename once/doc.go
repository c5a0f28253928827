// Package once implements at-most-once execution: it decides which agent may run a request, and whether that agent may
// run it now.
//
// A request is identified by a ticket or by an idempotency key of the caller. A ticket names the incarnation of an
// agent that may run the request. A key is a time-ordered UUID, and its owner is permanent: it is chosen from the
// epoch, a set of owners, that was in effect at the time in the key. An epoch takes effect no earlier than a fixed lead
// time after the platform has recorded it. A process that knows the platform's state up to some time therefore knows
// the owners of all keys up to that time plus the lead time. Neither mechanism depends on a local clock, a lease or a
// call to the platform for its safety.
package once
