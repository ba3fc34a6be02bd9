// Command goldcrestctl is the command-line tool of operators.
package main

import (
	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/ctl"
)

func main() { cli.Main(ctl.NewRoot()) }
