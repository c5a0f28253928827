// Package spread replicates the platform's objects to a process: it watches the platform if the process is a watcher,
// pushes changes down the tree of its availability zone, and compares watermarks with a few partners to fill gaps.
package spread
