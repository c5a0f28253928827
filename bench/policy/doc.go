// Package policy measures the placing of prompts and the keeping of their state: it drives the real decision packages,
// and small baselines, on one seeded workload in virtual time over a small model of engines, stores and links. It has
// no network, no processes and no clock, and two runs with one seed give the same figures.
package policy
