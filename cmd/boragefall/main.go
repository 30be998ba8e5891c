// Command boragefall is the node of the system and the operators' command line.
package main

import (
	"context"
	"os"

	"boragefall/internal/cli"
)

func main() {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(context.Background(), os.Args[1:], streams))
}
