// Package proof proves the promises of the system on real processes: a whole
// deployment on loopback, callers that behave well, faults in the middle of
// load, and the comparison of what callers got with what the stand-in backend
// servers wrote down.
//
// Its tests hold one story each. docs/PROOFS.md lists them with what they
// assume and what they don't prove.
package proof
