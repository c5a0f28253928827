// Package admission decides when a request may go to a model engine, in which order requests wait for that, and which of them
// are refused because their first token would come too late. It is without I/O and without a clock.
//
// It answers one load pattern: prompts come faster than engines give memory back, as after new weights or the loss of a part of
// the engines. A request that is sent regardless waits in the engine's own queue, where the engine's memory is full, so that the
// parts that it fetches find no room and are read once more; that work keeps the memory full after the cause has gone. Here the
// request waits at the entry, where it can still go to any engine, be overtaken, or be refused.
package admission
