// Package control tests the guarantees of control on real replicas. Concurrent
// operators and claimants run while replicas are killed, frozen, partitioned and
// lose their disks. The porcupine linearizability checker then compares the recorded
// histories with small models.
package control
