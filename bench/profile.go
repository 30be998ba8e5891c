package main

import (
	"os"
	"runtime/pprof"

	"github.com/rotisserie/eris"
)

// startProfile begins a CPU profile, if a file is named, and returns what ends
// it.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, eris.Wrap(err, "profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
