// Package measure measures the overhead of entries on a test bed: added latency,
// CPU time per relayed token and memory per open stream.
package measure
