// Package policy benchmarks the routing of prompts and the storing of their KV cache state. It runs the production
// decision packages and simple baselines on the same seeded workload, in a discrete-event simulation of engines,
// stores and links. It uses no network, processes or wall clock, so runs with the same seed give the same figures.
package policy
