// Package version names the version of the programs.
package version

// Version is set by the build with -ldflags "-X".
var Version = "dev"
