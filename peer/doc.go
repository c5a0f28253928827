// Package peer does the traffic between the system's own processes: many streams of CBOR frames
// over one WebSocket connection for each pair of processes, with a window for each stream.
package peer
