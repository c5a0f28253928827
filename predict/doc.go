// Package predict estimates request durations, and the time to first token (TTFT) of prompts at model engines, from
// earlier requests. It does no I/O and does not read the clock.
package predict
