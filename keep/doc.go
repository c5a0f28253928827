// Package keep makes the decisions about storing the KV cache state of prompts: how its blocks are named and sealed,
// when state is worth writing to a store or reading back, and when the link to a store should not be used. It does no
// I/O.
package keep
