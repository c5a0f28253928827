// Package keep decides what becomes of the state that prompts leave behind: how its blocks are named, where they are
// kept, when they are worth reading, and when a link or a store is not to be used.
package keep
