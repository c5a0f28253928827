// Package freshness measures in virtual time how soon every process holds a change when pushes are lost: by comparing
// marks with partners alone, and with marks also carried on the requests that entries send to agents, an idea of the
// P3Q paper. It uses the real plans of the spreading, and no network or processes.
package freshness
