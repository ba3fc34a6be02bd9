// Package control proves what control promises on real replicas: concurrent
// operators and claimants under kills, freezes, cuts and lost disks, with the
// histories of what they saw checked by porcupine against small models.
package control
