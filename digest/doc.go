// Package digest merges the reports of many agents, so that an entry of a large deployment follows one relay instead of
// all agents. A relay follows the agents of its own availability zone, exchanges digests with a relay of each other zone,
// and sends its subscribers what has changed at regular ticks. The package does no I/O.
package digest
