// Package version holds the version of the programs.
package version

// Version is set at build time with -ldflags "-X".
var Version = "dev"
