// Command goldcrest-load plays workloads against a deployment, runs the demo
// and measures role change policies, effects of faults, overhead and capacity.
// It runs on test machines only.
package main

import "goldcrestseam.dev/goldcrestseam/internal/cli"

func main() {
	root := cli.NewRoot("goldcrest-load", "Play workloads and measure",
		"goldcrest-load plays workload files against entries, runs the demo on loopback and\nmeasures the decisions under load on a model of the engines.")
	root.AddCommand(newPlay())
	root.AddCommand(newDemo())
	root.AddCommand(newOverhead())
	root.AddCommand(newFaults())
	root.AddCommand(newPolicyCommand())
	root.AddCommand(newCapacity())
	cli.Main(root)
}
