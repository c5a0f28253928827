// Package kept does the work on the state that prompts leave behind, beside one engine: it reads state from stores
// before a prompt runs, writes it to a store afterwards, and copies it ahead of a shift of weights.
package kept
