package ownership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
