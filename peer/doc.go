// Package peer implements RPC between the processes of a fleet. Streams of CBOR frames are multiplexed over one
// WebSocket connection to each peer, with flow control for each stream.
package peer
