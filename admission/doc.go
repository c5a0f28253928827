// Package admission decides when a request may be sent to a model engine, in which order requests wait, and which
// requests are shed because their first token would come too late. It does no I/O and does not read the clock.
//
// It handles one load pattern: prompts arrive faster than engines free KV cache memory, for example after a weight
// update or the loss of some engines. A request that is sent anyway waits in the queue of an engine whose memory is
// full. The prompt parts fetched for it then do not fit and are recomputed, and that work keeps the memory full after
// the cause is gone. A request that waits at the entry instead can still go to any engine, be overtaken or be refused.
package admission
