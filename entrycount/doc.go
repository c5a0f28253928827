// Package entrycount estimates how many entries share what is allowed to all of them together, from what agents and
// relays say of the entries that follow them. It does no I/O.
//
// Each of them may know too few: one that has just started, or that only some entries reach. So the largest number of
// the last while counts. It is an estimate all the same, and nothing that must hold in any case may rest on it.
package entrycount
