// Package capacity measures how costs grow with the size of a deployment, fits a
// line to each cost (a slope) and estimates from the lines what each role costs at
// the target size.
//
// It measures the production packages (reducers, decisions, messages, store) in one
// process, without replacing any of them by a test double. Times are processor time
// of the measuring thread, the minimum of several runs, since another process on the
// machine can only increase them.
package capacity
