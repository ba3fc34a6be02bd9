// Package proof tests the guarantees of the system end to end on real processes:
// it runs a complete deployment on loopback with well-behaved callers, injects
// faults under load, and compares what callers received with what the stand-in
// backend servers recorded in their journals.
//
// Each test covers one failure scenario. docs/PROOFS.md lists them with their
// assumptions and with what they don't prove.
package proof
