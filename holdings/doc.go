// Package holdings keeps track of which parts of prompts the runners and the cache stores hold: a Tracker beside the agent
// that hears a holder's events, and an Index of all holders at an entry. It does no I/O.
package holdings
