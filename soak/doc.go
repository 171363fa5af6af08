// Package soak holds a randomized test that runs entry VMs as processes, injects faults from outside them and checks
// the guarantees to callers, backend servers and teams. Its code is in test files; docs/soak.md says how to run it.
package soak
