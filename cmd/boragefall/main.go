// Command boragefall runs a node and provides the command-line tools for operators.
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
