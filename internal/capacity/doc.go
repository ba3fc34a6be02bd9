// Package capacity measures how costs grow with sizes (slopes), fits lines to
// them and works out from the lines what each role costs at the target size.
//
// It measures the real packages (reducers, decisions, messages, store) in one
// process, without stand-ins of its own for them. Times are processor time of
// the measuring thread, the least of several runs, since another process on
// the machine can only add to them.
package capacity
