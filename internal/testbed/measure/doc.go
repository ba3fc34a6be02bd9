// Package measure measures what entries cost on a bed: time added to tokens,
// processor time per relayed token, memory per open stream.
package measure
