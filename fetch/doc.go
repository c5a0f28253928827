// Package fetch decides from where a runner fetches the KV cache of prompt parts that it does not hold, and in which
// store the parts that it computes are saved. It does no I/O and does not read the clock.
package fetch
