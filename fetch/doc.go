// Package fetch decides from where a runner takes the parts of a prompt that it does not hold, and where the parts that it
// reads are saved. It is without I/O and without a clock.
package fetch
