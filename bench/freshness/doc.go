// Package freshness measures in virtual time how soon a change reaches every process if pushes are lost. It compares
// two ways to recover: comparing watermarks with partners, and in addition sending watermarks with the requests from
// entries to agents, an idea from the P3Q paper. It uses the production plans for replication, but no network or
// processes.
package freshness
