// Command goldcrestctl is the operators' tool.
package main

import (
	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/ctl"
)

func main() { cli.Main(ctl.NewRoot()) }
