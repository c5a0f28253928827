// Package kept moves the KV cache state of prompts between an engine and the stores. It imports state before a prompt
// runs, exports it afterwards, and copies it to the other side ahead of a change of weights.
package kept
